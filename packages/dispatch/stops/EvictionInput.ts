/** Properties of a run on a draining endpoint that decide whether it is evicted now. */
export interface EvictionInput {
  /** Time until the endpoint's drain deadline, in milliseconds. */
  readonly untilDrainDeadlineMs: number;
  /** Estimated time until the run ends, in milliseconds. */
  readonly remainingMs: number;
  /** The run writes a checkpoint when it is stopped, so that no work is lost. */
  readonly isSavingOnStop: boolean;
}
