import { formatEvent } from '../timeline/formatEvent';
import type { Command } from './Command';
import { createOperatorClient } from './createOperatorClient';
import { exitCodes } from './exitCodes';
import { formatRequestEvents } from './formatRequestEvents';
import { readMergedEvents } from './readMergedEvents';
import { sharedOptions } from './sharedOptions';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

/** `stairline explain`: shows where a request ran, what it waited for, and why that box was chosen. */
export const explainCommand: Command = {
  name: 'explain',
  summary: 'Show where a request ran, what it waited for and why that box was chosen.',
  usage: 'REQUEST-ID --settings FILE [--json]',
  options: sharedOptions,
  run: async (input) => {
    const [id] = input.positionals;
    if (id === undefined) {
      writeError('explain: expected a request id, from the response header x-stairline-request.');
      return exitCodes.usage;
    }
    const client = createOperatorClient(input);
    if (client === undefined) {
      return exitCodes.usage;
    }
    const { events, silent } = await readMergedEvents(client, `/timeline?request=${encodeURIComponent(id)}`);
    if (input.values['json'] === true) {
      writeLine(JSON.stringify({ events, silent }));
      return events.length > 0 ? exitCodes.done : exitCodes.failed;
    }
    if (events.length === 0) {
      const missing = silent.length > 0 ? ` No response from: ${silent.join(', ')}.` : '';
      writeError(`No entry box has events of request ${id}.${missing}`);
      return exitCodes.failed;
    }
    for (const sentence of formatRequestEvents(events)) {
      writeLine(sentence);
    }
    writeLine('');
    for (const event of events) {
      writeLine(formatEvent(event));
    }
    return exitCodes.done;
  },
};
