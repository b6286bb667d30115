/** One line of a process's log. */
export interface LogLine {
  /** ISO 8601, by the clock of its box. */
  readonly time: string;
  readonly box: string;
  readonly part: string;
  readonly message: string;
  readonly job?: string;
  readonly task?: string;
  readonly endpoint?: string;
  /** What a line tells of each of several runs. */
  readonly rows?: readonly { readonly job?: string; readonly task?: string; readonly endpoint?: string }[];
  /** Where tasks were placed, in a line that tells of several. */
  readonly placed?: readonly { readonly endpoint: string }[];
}
