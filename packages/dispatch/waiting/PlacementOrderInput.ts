import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** Clock, usage, capacity and estimates by which a placement order sorts the waiting steps. */
export interface PlacementOrderInput {
  readonly wallMs: number;
  readonly usage: CustomerUsage;
  /** Returns the sum of the capacities of all schedulable endpoints. */
  readonly getTotalCapacity: () => TaskDemand;
  /**
   * Returns a lower bound of the time from the start of a step to the end of its job, in milliseconds. The default is a share of the
   * critical path by the callers' estimates.
   */
  readonly estimateMinRemainingMs?: (step: WaitingStep) => number;
}
