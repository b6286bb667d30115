/** Baseline time of a step's tasks, estimated from those on one endpoint. */
export interface SiblingTime {
  /** Natural logarithm of milliseconds, corrected by the speed of the endpoint. */
  readonly logMs: number;
  /** Uncertainty of the correction. */
  readonly variance: number;
}
