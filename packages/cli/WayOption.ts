/** An option that chooses one of several ways of deciding. */
export interface WayOption<Choice extends string> {
  /** Name on the command line, without dashes. */
  readonly name: string;
  /** The ways, by the value that chooses them. */
  readonly table: Readonly<Record<Choice, unknown>>;
  readonly defaultChoice: Choice;
  /** What it decides, for the help. */
  readonly help: string;
}
