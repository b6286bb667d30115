/** What is known of the time of one task on a usual endpoint. */
export interface UsualTime {
  /** Natural logarithm of the milliseconds that half of such tasks take less than. */
  readonly logMs: number;
  /** Standard deviation of the logarithm over tasks of all such steps. */
  readonly spread: number;
  /** False while only the caller's own estimate is known. */
  readonly isLearnt: boolean;
  /** Standard deviation of the logarithm over tasks of one step. */
  readonly taskSpread: number;
}
