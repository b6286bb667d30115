/** Progress and paces by which stragglers are found. A pace is the time for one percent of progress, in milliseconds. */
export interface SlowRunInput {
  /** Pace of the run so far. */
  readonly pace: number;
  /** Pace that a new run on another endpoint is expected to have. */
  readonly baselinePace: number;
  /** Pace above which a run counts as slow. */
  readonly slowPace: number;
  readonly percent: number;
  /** Time without progress up to the newest poll, in milliseconds. */
  readonly stalledMs: number;
  /** Time from the decision to move the run until the new run makes progress, in milliseconds. */
  readonly moveMs: number;
  /** The run writes a checkpoint when it is stopped, from which the new run resumes. */
  readonly isSavingOnStop: boolean;
}
