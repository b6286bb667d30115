/** Severity of a log line. */
export type LineLevel = 'info' | 'warn' | 'error';
