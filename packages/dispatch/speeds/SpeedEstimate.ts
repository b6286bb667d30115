/** How much longer runs take on one endpoint than the same runs on a usual one. */
export interface SpeedEstimate {
  /** Time there by the usual time: 1 while nothing is known, 1.7 where a run takes 1.7 times as long. */
  readonly ratio: number;
  /** Standard deviation of the ratio's natural logarithm: how much of it is not known yet. */
  readonly spread: number;
}
