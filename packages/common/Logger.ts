/** What a part uses to log: short sentences; the part's prefix is set once. */
export interface Logger {
  info(sentence: string, fields?: Record<string, unknown>): void;
  warn(sentence: string, fields?: Record<string, unknown>): void;
  error(sentence: string, fields?: Record<string, unknown>): void;
}
