/** Validation error of a settings file. */
export interface SettingsProblem {
  /** Path of the invalid value, for example `entries[2].callers`; empty for the whole file. */
  readonly path: string;
  /** Line in the file, starting at 1; 0 if the file could not be read. */
  readonly line: number;
  /** Description of a valid value. */
  readonly expected: string;
}
