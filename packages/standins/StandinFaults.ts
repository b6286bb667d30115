/** Faults that the platform stand-in injects. */
export interface StandinFaults {
  /** Closes all connections without a response. */
  readonly isDown: boolean;
  /** Delay of every request, in milliseconds. */
  readonly delayMs: number;
  /** Fraction of appends, from 0 to 1, that take effect but whose response is lost. */
  readonly loseAnswers: number;
  /** Entry boxes that are partitioned from the platform. */
  readonly cutBoxes: readonly string[];
}
