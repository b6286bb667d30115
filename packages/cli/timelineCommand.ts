import { formatEvent } from '../timeline/formatEvent';
import type { Command } from './Command';
import { createOperatorClient } from './createOperatorClient';
import { exitCodes } from './exitCodes';
import { readMergedEvents } from './readMergedEvents';
import { sharedOptions } from './sharedOptions';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

/** `stairline timeline`: prints the events of all entry processes in causal order. */
export const timelineCommand: Command = {
  name: 'timeline',
  summary: 'Show the events of all entry processes, merged in causal order.',
  usage: '--settings FILE [--box NAME] [--json]',
  options: sharedOptions,
  run: async (input) => {
    const client = createOperatorClient(input);
    if (client === undefined) {
      return exitCodes.usage;
    }
    const { events, silent } = await readMergedEvents(client, '/timeline');
    if (input.values['json'] === true) {
      writeLine(JSON.stringify({ events, silent }));
    } else {
      for (const event of events) {
        writeLine(formatEvent(event));
      }
    }
    if (silent.length > 0) {
      writeError(`No response from: ${silent.join(', ')}. Their events are missing.`);
    }
    return exitCodes.done;
  },
};
