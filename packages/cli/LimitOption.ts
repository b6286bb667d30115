/** Command line option that sets a limit of the listener for callers. */
export interface LimitOption {
  /** Name of the option, without dashes. */
  readonly name: string;
  /** Smallest value: an integer. */
  readonly min: number;
  /** What the limit bounds, with its unit and its default, for the help text. */
  readonly help: string;
}
