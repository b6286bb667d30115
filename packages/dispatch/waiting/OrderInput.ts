import type { CustomerUsage } from '../../customers/CustomerUsage';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** What the order of placement goes by, besides the waiting steps. */
export interface OrderInput {
  readonly wallMs: number;
  readonly usage: CustomerUsage;
  /** Room of all usable endpoints together, taken or not. */
  readonly readCapacity: () => TaskDemand;
  /**
   * Time from the start of a step to the end of its job that is certain, in milliseconds; a small part of the callers' estimates when left out.
   */
  readonly readRemainingMs?: (step: WaitingStep) => number;
}
