/** Position of a task within its job. */
export interface TaskAddress {
  /** Index of the repetition; 0 for a job that is not repeated. */
  readonly repetition: number;
  readonly step: number;
  readonly index: number;
}
