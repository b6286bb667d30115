/** Distribution over the endpoints of a group of the natural logarithm of the ratio of run times to their baseline times. */
export interface SpeedPrior {
  readonly mean: number;
  /** Variance between the endpoints of the group, without the sampling variance. */
  readonly variance: number;
}
