import type { CustomerName } from '../customers/CustomerName';

/** Weight and demand of a customer in the computation of fair shares. */
export interface ShareDemand {
  readonly customer: CustomerName;
  /** Weight of the customer in the division, above 0. */
  readonly weight: number;
  /** Dominant share of its running and waiting work together; may be above 1. */
  readonly demandedShare: number;
}
