import { randomBytes } from 'node:crypto';
import { systemClock } from '../common/systemClock';
import { formatError } from '../common/formatError';
import { EntryProcess } from '../entry/EntryProcess';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { readCheckedSettings } from './readCheckedSettings';
import { sharedOptions } from './sharedOptions';
import { writeError } from './writeError';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Waits for a signal and for the graceful stop, and resolves to the exit code. A second signal exits at once. */
const waitForExitCode = (entry: EntryProcess): Promise<number> =>
  new Promise((resolve) => {
    let isStopping = false;
    const handleSignal = () => {
      if (isStopping) {
        writeError(
          `Stopped by a second signal. Interrupted: ${entry.readUnderWay()} calls and tasks in progress.`,
        );
        process.exit(exitCodes.failed);
      }
      isStopping = true;
      void entry.stop().then((interrupted) => {
        if (interrupted > 0) {
          writeError(
            `The time limit for stopping has passed. Interrupted: ${interrupted} calls and tasks in progress.`,
          );
        }
        resolve(interrupted === 0 ? exitCodes.done : exitCodes.failed);
      });
    };
    for (const signal of STOP_SIGNALS) {
      process.on(signal, handleSignal);
    }
  });

/** `stairline entry`: runs an entry process. */
export const entryCommand: Command = {
  name: 'entry',
  summary: 'Run one entry process. SIGTERM stops it gracefully; a second signal ends it at once.',
  usage: '--settings FILE [--box NAME]',
  options: {
    settings: sharedOptions.settings,
    box: sharedOptions.box,
    record: { type: 'string', help: 'file or pipe for a trace of scheduling decisions, for development' },
  },
  run: async (input) => {
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
    const stopped = waitForExitCode(entry);
    try {
      await entry.start();
    } catch (thrown) {
      writeError(`The entry process could not start: ${formatError(thrown)}.`);
      return exitCodes.failed;
    }
    const code = await stopped;
    // Long polls and idle connections would keep the process running for seconds.
    process.exit(code);
  },
};
