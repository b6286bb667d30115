/** Run time of a step's tasks on a baseline endpoint, estimated from those of its tasks on one endpoint. */
export interface SiblingTime {
  /** Natural logarithm of the median run time in milliseconds, corrected by the estimated speed of the endpoint. */
  readonly logMs: number;
  /** Variance of the correction, from the estimate of the endpoint's speed. */
  readonly variance: number;
}
