import { parseArgs } from 'node:util';
import { formatError } from '../common/formatError';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { formatCommandList } from './formatCommandList';
import { formatHelp } from './formatHelp';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

/** Runs the command that the first argument names, with the other arguments. Resolves to the exit code. */
export const runCommand = async (args: readonly string[], commands: readonly Command[]): Promise<number> => {
  const [name, ...rest] = args;
  if (name === undefined || name === '--help' || name === 'help') {
    writeLine(formatCommandList(commands));
    return name === undefined ? exitCodes.usage : exitCodes.done;
  }
  const command = commands.find((known) => known.name === name);
  if (command === undefined) {
    writeError(`Unknown command: ${name}.\n${formatCommandList(commands)}`);
    return exitCodes.usage;
  }
  const options = { ...command.options, help: { type: 'boolean', help: 'show this text' } } as const;
  try {
    const { values, positionals } = parseArgs({ args: rest, options, allowPositionals: true, strict: true });
    if (values.help === true) {
      writeLine(formatHelp(command));
      return exitCodes.done;
    }
    return await command.run({ values: values as Record<string, string | boolean>, positionals });
  } catch (thrown) {
    writeError(`${formatError(thrown)}\n${formatHelp(command)}`);
    return exitCodes.usage;
  }
};
