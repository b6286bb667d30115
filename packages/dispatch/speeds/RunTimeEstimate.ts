/** Expected run time of one task on a baseline endpoint. */
export interface RunTimeEstimate {
  /** Median, in milliseconds. */
  readonly medianMs: number;
  /** 90th percentile, in milliseconds. */
  readonly p90Ms: number;
  /** False while only the caller's estimate is known. */
  readonly isLearnt: boolean;
}
