import { randomBytes } from 'node:crypto';
import { systemClock } from '../common/systemClock';
import { formatError } from '../common/formatError';
import { EntryProcess } from '../entry/EntryProcess';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { readCheckedSettings } from './readCheckedSettings';
import { sharedOptions } from './sharedOptions';
import { writeError } from './writeError';

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Resolves to the exit code once the process was told to stop and has finished, or was told twice. */
const handleSignals = (entry: EntryProcess): Promise<number> =>
  new Promise((resolve) => {
    let isStopping = false;
    const handleSignal = () => {
      if (isStopping) {
        writeError(`Ended by a second signal. Cut: ${entry.readUnderWay()} calls and tasks under way.`);
        process.exit(exitCodes.failed);
      }
      isStopping = true;
      void entry.stop().then((cut) => {
        if (cut > 0) {
          writeError(`The limit for stopping has passed. Cut: ${cut} calls and tasks under way.`);
        }
        resolve(cut === 0 ? exitCodes.done : exitCodes.failed);
      });
    };
    for (const signal of SIGNALS) {
      process.on(signal, handleSignal);
    }
  });

/** `stairline entry`: one entry process. */
export const entryCommand: Command = {
  name: 'entry',
  summary: 'Run one entry process. SIGTERM stops it by plan; a second signal ends it at once.',
  usage: '--settings FILE [--box NAME]',
  options: {
    settings: sharedOptions.settings,
    box: sharedOptions.box,
    record: { type: 'string', help: 'file or pipe for a trace of the decision core, for development' },
  },
  start: async (input) => {
    const settings = readCheckedSettings(input);
    if (settings === undefined) {
      return exitCodes.usage;
    }
    const box = typeof input.values['box'] === 'string' ? input.values['box'] : settings.box;
    if (box === undefined || !settings.entries.some((entry) => entry.box === box)) {
      const known = settings.entries.map((entry) => entry.box).join(', ');
      writeError(`box: expected one of ${known}; got ${box ?? 'none'}.`);
      return exitCodes.usage;
    }
    const recordFile = typeof input.values['record'] === 'string' ? input.values['record'] : undefined;
    const entry = new EntryProcess({
      settings,
      box,
      clock: systemClock,
      seed: randomBytes(4).readUInt32LE(),
      incarnation: `${Date.now().toString(36)}${randomBytes(3).toString('hex')}`,
      ...(recordFile === undefined ? {} : { recordFile }),
    });
    const stopped = handleSignals(entry);
    try {
      await entry.start();
    } catch (thrown) {
      writeError(`The entry process could not start: ${formatError(thrown)}.`);
      return exitCodes.failed;
    }
    const code = await stopped;
    // Long polls and idle links would hold the process for seconds more.
    process.exit(code);
  },
};
