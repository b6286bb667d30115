/** A run, or a whole gang, on a draining endpoint. */
export interface EvictionInput {
  /** Time until the endpoint's drain deadline, in milliseconds. */
  readonly untilDeadlineMs: number;
  /** Estimated time until the run ends there, in milliseconds; Infinity for one that never ends. */
  readonly remainingMs: number;
  /** The run saves its work when it is stopped. */
  readonly isSavingOnStop: boolean;
}
