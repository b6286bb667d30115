/** Progress and pace of a run that may be a straggler. A pace is in milliseconds for one percent. */
export interface SlowRunInput {
  /** Pace of this run. */
  readonly pace: number;
  /** Baseline pace, expected of a new run. */
  readonly baselinePace: number;
  /** Pace above which a run is slow beyond the normal variance. */
  readonly slowPace: number;
  readonly percent: number;
  /** Time since the run last progressed, in milliseconds. */
  readonly stalledMs: number;
  /** Time from a move until the new run works, in milliseconds. */
  readonly moveMs: number;
  /** The run saves its work when it is stopped, and the new one resumes from there. */
  readonly isSavingOnStop: boolean;
}
