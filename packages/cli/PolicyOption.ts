/** Command line option that selects a policy. */
export interface PolicyOption<Choice extends string> {
  /** Name of the option, without dashes. */
  readonly name: string;
  /** Values of the option, as keys. */
  readonly choices: Readonly<Record<Choice, unknown>>;
  readonly defaultChoice: Choice;
  /** What the policy decides, for the help text. */
  readonly help: string;
}
