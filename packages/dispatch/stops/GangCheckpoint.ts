/** Checkpoint from which all members of a gang can resume. */
export interface GangCheckpoint {
  readonly checkpoint: string;
  /** Number of the run that left the checkpoint. */
  readonly runNumber: number;
  /** Monotonic time up to which the checkpoint holds the work of the run. */
  readonly savedAt: number;
}
