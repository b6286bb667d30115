import { measureReplay } from '../replay/measureReplay';
import type { PolicyName } from '../scheduler/PolicyName';
import { policies } from '../scheduler/policies';
import { formatReplay } from '../replay/formatReplay';
import { readTrace } from '../replay/readTrace';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { sharedOptions } from './sharedOptions';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

/** `stairline replay`: replays a recorded trace of scheduler events through the scheduler on a virtual clock. */
export const replayCommand: Command = {
  name: 'replay',
  summary:
    'Replay a recorded trace through the scheduler on a virtual clock; print waiting times, packing and a digest.',
  usage: 'TRACE [--policy NAME] [--json]',
  options: {
    policy: { type: 'string', help: `one of ${Object.keys(policies).join(', ')}` },
    json: sharedOptions.json,
  },
  run: async (input) => {
    const [file] = input.positionals;
    const policy = (input.values['policy'] ?? 'stairline') as PolicyName;
    if (file === undefined || !(policy in policies)) {
      writeError(
        `replay: expected a trace file, and one of the policies ${Object.keys(policies).join(', ')}.`,
      );
      return exitCodes.usage;
    }
    const trace = readTrace(file);
    if (!trace.ok) {
      writeError(`${file}:${trace.error.line}: ${trace.error.expected}`);
      return exitCodes.usage;
    }
    const result = measureReplay(trace.value, policy);
    writeLine(input.values['json'] === true ? JSON.stringify(result) : formatReplay(result));
    return exitCodes.done;
  },
};
