/** Faults that the platform stand-in injects. */
export interface StandinFaults {
  /** Closes the connection of each request without a response. */
  readonly isDown: boolean;
  /** Delay of every request, in milliseconds. */
  readonly delayMs: number;
  /** Fraction of appends, from 0 to 1, that are applied but get no response: their connection is closed. */
  readonly loseAnswers: number;
  /** Entry boxes, by the name in their user agent, whose requests get no response: the connection is closed. */
  readonly cutBoxes: readonly string[];
}
