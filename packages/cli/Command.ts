import type { CommandInput } from './CommandInput';

/** One subcommand, registered in a table and found by name. */
export interface Command {
  readonly name: string;
  /** One line for the list of commands. */
  readonly summary: string;
  /** Positional arguments, for the usage line. */
  readonly usage: string;
  /** Options of `util.parseArgs` with a line of help each. */
  readonly options: Readonly<Record<string, { readonly type: 'string' | 'boolean'; readonly help: string }>>;
  /** Runs to the exit code: 0 done, 1 failed or refused, 2 called wrongly. */
  readonly start: (input: CommandInput) => Promise<number>;
}
