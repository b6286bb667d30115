import type { Command } from '../../packages/cli/Command';
import { exitCodes } from '../../packages/cli/exitCodes';
import { writeLine } from '../../packages/cli/writeLine';
import { startExitOnSignal } from '../startExitOnSignal';
import { benchSections } from './benchSections';

/** `dev bench`: the measurements of docs/MEASUREMENTS.md. */
export const benchCommand: Command = {
  name: 'bench',
  summary: 'Measure decisions, policies, overload, memory and control cost.',
  usage: '[SECTION ...]',
  options: {},
  run: async ({ positionals }) => {
    startExitOnSignal();
    for (const section of benchSections) {
      if (positionals.length === 0 || positionals.includes(section.name)) {
        writeLine(`\n## ${section.name}: ${section.about}\n`);
        writeLine(await section.measure());
      }
    }
    return exitCodes.done;
  },
};
