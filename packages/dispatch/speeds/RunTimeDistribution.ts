/** Log-normal distribution of the run time of one task on a baseline endpoint. */
export interface RunTimeDistribution {
  /** Natural logarithm of the median in milliseconds. */
  readonly logMs: number;
  /** Standard deviation of the logarithm over the tasks of all such steps. */
  readonly spread: number;
  /** False while only the caller's estimate is known. */
  readonly isLearnt: boolean;
  /** Standard deviation of the logarithm within one step. */
  readonly taskSpread: number;
}
