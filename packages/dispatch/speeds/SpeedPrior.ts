/** What to expect of an endpoint before it has run anything; natural logarithms of ratios. */
export interface SpeedPrior {
  readonly mean: number;
  /** How far endpoints of the group differ from each other. */
  readonly variance: number;
}
