/** Place of a task within its job. */
export interface TaskAddress {
  /** Number of the repetition; 0 for jobs without times. */
  readonly time: number;
  readonly step: number;
  readonly index: number;
}
