import type { CustomerName } from '../customers/CustomerName';
import type { FairShares } from './FairShares';
import type { ShareDemand } from './ShareDemand';

/**
 * Computes the weighted max-min fair share of each customer, 0 to 1, by dividing `availableShare` of the endpoints among them. A customer
 * that demands less than its weight allows gets its demand, and the rest is divided among the others by weight.
 */
export const computeFairShares = (demands: readonly ShareDemand[], availableShare: number): FairShares => {
  const shares = new Map<CustomerName, number>();
  const ascending = [...demands].sort(
    (left, right) => left.demandedShare / left.weight - right.demandedShare / right.weight,
  );
  let shareLeft = availableShare;
  let weightLeft = ascending.reduce((sum, { weight }) => sum + weight, 0);
  for (const { customer, weight, demandedShare } of ascending) {
    const share = Math.min(demandedShare, (shareLeft * weight) / weightLeft);
    shares.set(customer, share);
    shareLeft -= share;
    weightLeft -= weight;
  }
  return shares;
};
