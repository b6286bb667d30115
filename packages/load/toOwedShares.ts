import type { CustomerName } from '../customers/CustomerName';
import type { OwedShares } from './OwedShares';
import type { ShareClaim } from './ShareClaim';

/**
 * Divides a part of the endpoints, 0 to 1, among customers by their weights: one that wants less than its part gets what it wants, and what it
 * leaves goes to the others by their weights.
 */
export const toOwedShares = (claims: readonly ShareClaim[], part: number): OwedShares => {
  const owed = new Map<CustomerName, number>();
  const byNeed = [...claims].sort(
    (left, right) => left.wantedShare / left.weight - right.wantedShare / right.weight,
  );
  let partLeft = part;
  let weightLeft = byNeed.reduce((sum, { weight }) => sum + weight, 0);
  for (const { customer, weight, wantedShare } of byNeed) {
    const share = Math.min(wantedShare, (partLeft * weight) / weightLeft);
    owed.set(customer, share);
    partLeft -= share;
    weightLeft -= weight;
  }
  return owed;
};
