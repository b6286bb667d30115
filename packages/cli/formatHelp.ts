import type { Command } from './Command';

const OPTION_WIDTH = 22;

/** Formats the help text of one command. */
export const formatHelp = (command: Command): string => {
  const options = Object.entries(command.options).map(([name, option]) => {
    const flag = option.type === 'string' ? `--${name} VALUE` : `--${name}`;
    return `  ${flag.padEnd(OPTION_WIDTH)} ${option.help}`;
  });
  const head = `stairline ${command.name} ${command.usage}`.trimEnd();
  return [`usage: ${head}`, '', command.summary, '', 'options:', ...options, ''].join('\n');
};
