/** What stands beside the sentence of a line. */
export type LineFields = Readonly<Record<string, unknown>>;
