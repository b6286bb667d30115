/** Times of leadership and leases in milliseconds; docs/decisions/0005 has the reasons. */
export const leaderTimings = {
  /** The leader writes at least this often. */
  heartbeatMs: 400,
  /** A leader whose writes are missed for so long, while the log can be read, is replaced. */
  silenceMs: 1300,
  /** Largest random addition to the silence, so that followers do not claim together. */
  claimJitterMs: 400,
  /** Lease of everything that runs on an endpoint, from the sending of the grant on. */
  leaseMs: 4000,
  /** An endpoint's clock may be slow by this share. */
  clockDriftShare: 0.03,
  /** Added to every bound that is computed from a lease. */
  marginMs: 250,
  /** A leader that cannot write to the log renews leases for so long after its last answered write. */
  unconfirmedGraceMs: 8000,
} as const;
