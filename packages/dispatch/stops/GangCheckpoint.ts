/** The newest checkpoint that members of a gang have left. */
export interface GangCheckpoint {
  readonly checkpoint: string;
  readonly run: number;
  /** Monotonic time up to which its work is in it. */
  readonly savedAt: number;
}
