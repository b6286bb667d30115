import type { CustomerName } from '../customers/CustomerName';

/** Waiting tasks of a customer, and its share of the endpoints. */
export interface CustomerLoad {
  readonly customer: CustomerName;
  readonly waitingTasks: number;
  /** Share of the resource of which the customer uses the largest part, 0 to 1. */
  readonly dominantShare: number;
  /** Weighted fair share of the endpoints under the current demand, 0 to 1. */
  readonly fairShare: number;
}
