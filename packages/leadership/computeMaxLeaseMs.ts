import { leaderTimings } from './leaderTimings';

/** Returns the time in milliseconds from the sending of a lease of `leaseMs` until it has expired by any clock within the tolerance. */
export const computeMaxLeaseMs = (leaseMs: number): number =>
  leaseMs * (1 + leaderTimings.clockDriftShare) + leaderTimings.marginMs;
