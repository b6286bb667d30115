/** Record of a keyed topic. */
export interface LogRecord {
  readonly offset: number;
  readonly key: string;
  /** Value of the key; empty for a deleted key. */
  readonly value: string;
}
