import type { CustomerName } from '../customers/CustomerName';

/** Fair share of the endpoints by customer, 0 to 1. */
export type FairShares = ReadonlyMap<CustomerName, number>;
