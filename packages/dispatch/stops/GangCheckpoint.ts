/** Newest checkpoint left by a member of a gang. */
export interface GangCheckpoint {
  readonly checkpoint: string;
  readonly run: number;
  /** Monotonic time up to which work is saved in it. */
  readonly savedAt: number;
}
