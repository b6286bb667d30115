import type { CustomerName } from '../customers/CustomerName';

/** What one customer has waiting and holds. */
export interface CustomerLoad {
  readonly customer: CustomerName;
  readonly waitingTasks: number;
  /** Part of the scarcest resource that it holds, 0 to 1. */
  readonly dominantShare: number;
  /** Part that its weight gives it while everybody has work waiting, 0 to 1. */
  readonly fairShare: number;
}
