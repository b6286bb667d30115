/** Log topics that the entry boxes write. */
export const topics = {
  /** Jobs, cancels and box announcements, written by every box. */
  jobs: 'keyed.jobs',
  /** Job states and the leader record, written by the leader and followed by every box. */
  states: 'keyed.states',
  /** Job progress, written by the leader and read by the next leader. */
  progress: 'keyed.progress',
} as const;
