import type { Command } from './Command';

const COMMAND_NAME_WIDTH = 10;

/** Formats the usage of the binary, with all commands. */
export const formatCommandList = (commands: readonly Command[]): string => {
  const lines = commands.map((command) => `  ${command.name.padEnd(COMMAND_NAME_WIDTH)} ${command.summary}`);
  return [
    'usage: stairline COMMAND [ARGUMENTS]',
    '',
    'commands:',
    ...lines,
    '',
    '`stairline COMMAND --help` shows the options of a command. Exit codes: 0 done, 1 failed or refused, 2 invalid arguments or settings.',
  ].join('\n');
};
