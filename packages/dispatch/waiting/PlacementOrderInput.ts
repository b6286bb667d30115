import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** Input of a placement order, besides the waiting steps. */
export interface PlacementOrderInput {
  readonly wallMs: number;
  readonly usage: CustomerUsage;
  /** Returns the total capacity of all schedulable endpoints. */
  readonly getTotalCapacity: () => TaskDemand;
  /**
   * Returns a lower bound of the time from the start of a step to the end of its job, in milliseconds. The default is a share of the
   * callers' estimates.
   */
  readonly estimateMinRemainingMs?: (step: WaitingStep) => number;
}
