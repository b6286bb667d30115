/** Structured fields of a log line. */
export type LineFields = Readonly<Record<string, unknown>>;
