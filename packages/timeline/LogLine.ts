/** One line of a process's log. */
export interface LogLine {
  /** ISO 8601 time by the clock of the box that wrote the line. */
  readonly time: string;
  readonly box: string;
  /** Component that wrote the line, for example `leader`. */
  readonly part: string;
  readonly message: string;
  readonly job?: string;
  readonly task?: string;
  readonly endpoint?: string;
  /** Details per run, in a line about several runs. */
  readonly rows?: readonly { readonly job?: string; readonly task?: string; readonly endpoint?: string }[];
  /** Placements, in a line about several tasks. */
  readonly placed?: readonly { readonly endpoint: string }[];
}
