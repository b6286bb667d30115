/** Identifies an exclusive writer of a topic. The log refuses writers with a lower epoch than it has seen. */
export interface WriterIdentity {
  readonly producer: string;
  readonly epoch: number;
  /** Number of this append in the epoch; a repeated number gets its first answer again. */
  readonly sequence: number;
}
