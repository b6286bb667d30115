/** How long one task is expected to run on a usual endpoint. */
export interface RunTimeEstimate {
  /** Half of such tasks take less, in milliseconds. */
  readonly medianMs: number;
  /** Nine tenths of such tasks take less, in milliseconds. */
  readonly p90Ms: number;
  /** False while only the caller's own estimate is known. */
  readonly isLearnt: boolean;
}
