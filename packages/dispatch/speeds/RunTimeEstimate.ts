/** Expected run time of one task, or of a whole gang, on a baseline endpoint. */
export interface RunTimeEstimate {
  /** Median run time, in milliseconds. */
  readonly medianMs: number;
  /** Run time that 90% of such tasks stay below, in milliseconds. */
  readonly p90Ms: number;
  /** Whether the estimate is learnt from runs; false while only the caller's estimate is known. */
  readonly isLearnt: boolean;
}
