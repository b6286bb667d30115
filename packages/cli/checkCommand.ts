import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { readCheckedSettings } from './readCheckedSettings';
import { sharedOptions } from './sharedOptions';
import { writeLine } from './writeLine';

/** `stairline check`: validates a settings file and prints all problems. */
export const checkCommand: Command = {
  name: 'check',
  summary: 'Check a settings file; print every problem with its path, line and what was expected.',
  usage: '--settings FILE',
  options: { settings: sharedOptions.settings },
  run: async (input) => {
    const settings = readCheckedSettings(input);
    if (settings === undefined) {
      return exitCodes.usage;
    }
    const rows = Object.keys(settings.rows).length;
    writeLine(
      `The settings are valid: cell ${settings.cell}, ${settings.entries.length} entry boxes, ${rows} rows.`,
    );
    return exitCodes.done;
  },
};
