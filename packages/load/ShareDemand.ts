import type { CustomerName } from '../customers/CustomerName';

/** What one customer would take if there were room for all of it. */
export interface ShareDemand {
  readonly customer: CustomerName;
  /** Above 0. */
  readonly weight: number;
  /** Dominant share of what it has running and waiting together; may be above 1. */
  readonly demandedShare: number;
}
