import type { CustomerName } from '../customers/CustomerName';

/** Part of all endpoints that each customer is owed, 0 to 1. */
export type FairShares = ReadonlyMap<CustomerName, number>;
