/** Log-normal distribution of the run time of one task, or of a whole gang, on a baseline endpoint. */
export interface RunTimeDistribution {
  /** Natural logarithm of the median run time in milliseconds. */
  readonly logMs: number;
  /** Standard deviation of the logarithm of the run time over the tasks of all such steps. */
  readonly spread: number;
  /** Whether the distribution is learnt from runs; false while only the caller's estimate is known. */
  readonly isLearnt: boolean;
  /** Standard deviation of the logarithm of the run time over the tasks of one step. */
  readonly taskSpread: number;
}
