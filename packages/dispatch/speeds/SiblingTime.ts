/** What the tasks of a step on one other endpoint tell of its usual time. */
export interface SiblingTime {
  /** Natural logarithm of milliseconds, corrected for the endpoint. */
  readonly logMs: number;
  /** How much of the correction is not known. */
  readonly variance: number;
}
