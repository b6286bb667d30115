/** Identity of an exclusive writer of a topic. The log rejects writers with a lower epoch than it has seen. */
export interface WriterIdentity {
  readonly producer: string;
  readonly epoch: number;
  /** Number of the append in the epoch. A repeated append gets the response to the first one. */
  readonly sequence: number;
}
