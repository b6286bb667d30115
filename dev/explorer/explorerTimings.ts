import type { OwnershipTimings } from '../../packages/ownership/OwnershipTimings';

/** Times of the explored hall, in milliseconds. */
export const explorerTimings: OwnershipTimings = {
  leaseMs: 1000,
  marginMs: 200,
  suspectMs: 1300,
  longestTaskMs: 700,
  seatLeaseMs: 600,
};
