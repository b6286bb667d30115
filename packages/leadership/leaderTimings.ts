/** Timings of leadership and leases; see docs/decisions/0005. */
export const leaderTimings = {
  /** Maximum interval between writes of the leader. */
  heartbeatMs: 400,
  /** A leader without writes for longer than this, while the log can be read, is replaced. */
  heartbeatTimeoutMs: 1300,
  /** Maximum random delay of a claim, so that followers do not claim at the same time. */
  claimJitterMs: 400,
  /** Lease of the runs of an endpoint, from the moment the grant is sent. */
  leaseMs: 4000,
  /** Maximum relative drift of the clock of an endpoint. */
  clockDriftShare: 0.03,
  /** Safety margin that is added to each bound computed from a lease. */
  marginMs: 250,
  /** Longest time after its last acknowledged write in which a leader that cannot write to the log still renews leases. */
  unconfirmedGraceMs: 8000,
  /** Time after its last acknowledged write in which a leader that has named witnesses renews leases without their word. */
  briefGraceMs: 2500,
  /** Time, from the sending of the request, in which a leader renews leases on the word of a witness. */
  vouchMs: 1500,
} as const;
