/** What decides whether a run, or a member of a gang, is evicted from a draining endpoint. */
export interface EvictionInput {
  /** Time until the endpoint's drain deadline, in milliseconds. */
  readonly untilDeadlineMs: number;
  /** Estimated time until the run ends, in milliseconds. */
  readonly remainingMs: number;
  /** The run writes a checkpoint when it is stopped, so that no work is lost. */
  readonly isSavingOnStop: boolean;
}
