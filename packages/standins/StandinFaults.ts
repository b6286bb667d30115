/** Failures that the platform stand-in brings about on request. */
export interface StandinFaults {
  /** Connections are cut at once. */
  readonly isDown: boolean;
  /** Every answer is held back this long, in milliseconds. */
  readonly delayMs: number;
  /** Share of appends that take effect and lose their answer, from 0 to 1. */
  readonly loseAnswers: number;
  /** Entry boxes that are cut off from the platform alone. */
  readonly cutBoxes: readonly string[];
}
