/** One part of the measurements. */
export interface BenchSection {
  readonly name: string;
  readonly about: string;
  /** Measures and returns a table of text. */
  readonly measure: () => Promise<string>;
}
