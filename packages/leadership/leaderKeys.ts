/** Names under which leaders write to the log. */
export const leaderKeys = {
  /** Key of the leader's record. */
  recordKey: 'leader',
  /** Producer of every leader's appends. */
  producer: 'leader',
  /** A claim is the first append of its epoch. */
  claimSequence: 1,
} as const;
