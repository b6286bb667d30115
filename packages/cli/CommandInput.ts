/** Parsed options and positional arguments of a subcommand. */
export interface CommandInput {
  readonly values: Readonly<Record<string, string | boolean | undefined>>;
  readonly positionals: readonly string[];
}
