import type { CommandInput } from './CommandInput';

/** A subcommand of the command line. */
export interface Command {
  readonly name: string;
  /** Sentence for the list of commands. */
  readonly summary: string;
  /** Arguments, for the usage line. */
  readonly usage: string;
  /** Options of `util.parseArgs`, each with its help text. */
  readonly options: Readonly<Record<string, { readonly type: 'string' | 'boolean'; readonly help: string }>>;
  /** Runs the command; resolves to one of `exitCodes`. */
  readonly run: (input: CommandInput) => Promise<number>;
}
