import type { CustomerName } from '../customers/CustomerName';
import type { FairShares } from './FairShares';
import type { ShareDemand } from './ShareDemand';

/**
 * Divides a part of the endpoints, 0 to 1, among customers by their weights: one that wants less than its part gets what it wants, and what it
 * leaves goes to the others by their weights.
 */
export const computeFairShares = (claims: readonly ShareDemand[], part: number): FairShares => {
  const owed = new Map<CustomerName, number>();
  const byNeed = [...claims].sort(
    (left, right) => left.demandedShare / left.weight - right.demandedShare / right.weight,
  );
  let partLeft = part;
  let weightLeft = byNeed.reduce((sum, { weight }) => sum + weight, 0);
  for (const { customer, weight, demandedShare } of byNeed) {
    const share = Math.min(demandedShare, (partLeft * weight) / weightLeft);
    owed.set(customer, share);
    partLeft -= share;
    weightLeft -= weight;
  }
  return owed;
};
