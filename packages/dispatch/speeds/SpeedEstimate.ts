/** Estimated ratio of run times on an endpoint to the baseline. */
export interface SpeedEstimate {
  /** Ratio of run times on the endpoint to the baseline: 1 for the baseline, 1.7 where runs take 1.7 times as long. */
  readonly ratio: number;
  /** Standard deviation of the natural logarithm of the ratio. */
  readonly spread: number;
}
