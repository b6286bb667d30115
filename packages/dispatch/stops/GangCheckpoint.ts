/** Newest checkpoint left by a member of a gang. */
export interface GangCheckpoint {
  readonly checkpoint: string;
  readonly runNumber: number;
  /** Monotonic time up to which work is saved in it. */
  readonly savedAt: number;
}
