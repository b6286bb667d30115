/** Keys and writer identity of leaders in the log. */
export const leaderKeys = {
  /** Key of the leader's record. */
  recordKey: 'leader',
  /** Producer name in the appends of all leaders. */
  producer: 'leader',
  /** Sequence number of a claim, the first append of its epoch. */
  claimSequence: 1,
} as const;
