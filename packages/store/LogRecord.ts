/** One record of a keyed topic. */
export interface LogRecord {
  readonly offset: number;
  readonly key: string;
  /** Empty when the key was dropped. */
  readonly value: string;
}
