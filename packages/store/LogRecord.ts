/** Record of a keyed topic. */
export interface LogRecord {
  readonly offset: number;
  readonly key: string;
  /** Empty for a deleted key. */
  readonly value: string;
}
