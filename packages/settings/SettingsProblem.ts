/** One thing that is wrong in a settings file. */
export interface SettingsProblem {
  /** Path of the value, for example `entries[2].callers`; empty for the file itself. */
  readonly path: string;
  /** Line in the file, from 1; 0 when the file could not be read. */
  readonly line: number;
  readonly expected: string;
}
