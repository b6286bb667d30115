/** What is known of a run that may be slow. */
export interface SlowRunInput {
  /** Milliseconds for one percent, of this run and of a new one as far as is known. */
  readonly pace: number;
  readonly usualPace: number;
  /** A run with a pace beyond this is slow for certain, and not by the usual spread. */
  readonly slowPace: number;
  readonly percent: number;
  /** Time since the run's percent last rose, in milliseconds. */
  readonly stalledMs: number;
  /** Time that a move takes before the new run works, in milliseconds. */
  readonly moveMs: number;
  /** A stop saves what the run has done, so that the new one goes on from there. */
  readonly isSaving: boolean;
}
