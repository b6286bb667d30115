/** Distribution of the natural logarithm of the ratio over the endpoints of a group. */
export interface SpeedPrior {
  readonly mean: number;
  /** Variance between the endpoints of the group. */
  readonly variance: number;
}
