import type { HallId } from '../common/HallId';
import type { ProcessId } from '../common/ProcessId';
import { ByteCounter } from '../common/ByteCounter';
import { systemClock } from '../common/systemClock';
import { toId } from '../common/toId';
import type { HallRecord } from '../ownership/HallRecord';
import { formatPlatformError } from '../platform/formatPlatformError';
import { PlatformClient } from '../platform/PlatformClient';
import { streams } from '../platform/streams';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { readCheckedSettings } from './readCheckedSettings';
import { sharedOptions } from './sharedOptions';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

/** `stairline ended`: records an operator's confirmation that an entry process has ended. */
export const confirmEndedCommand: Command = {
  name: 'ended',
  summary: 'Confirm that an entry process has ended, so that its hall does not wait for it.',
  usage: 'PROCESS-ID --settings FILE --hall HALL --i-have-checked',
  options: {
    settings: sharedOptions.settings,
    hall: { type: 'string', help: 'hall of the process (required)' },
    'i-have-checked': { type: 'boolean', help: 'required: a wrong confirmation can overcommit boxes' },
  },
  run: async (input) => {
    const [process] = input.positionals;
    const hall = input.values['hall'];
    if (process === undefined || !process.includes('#') || typeof hall !== 'string') {
      writeError('ended: expected PROCESS-ID (BOX#INCARNATION, as `status` shows it) and --hall.');
      return exitCodes.usage;
    }
    if (input.values['i-have-checked'] !== true) {
      writeError('ended: make sure that the process has ended, then confirm it with --i-have-checked.');
      return exitCodes.usage;
    }
    const settings = readCheckedSettings(input);
    if (settings === undefined) {
      return exitCodes.usage;
    }
    const { platform, timings, cell } = settings;
    const client = new PlatformClient({
      address: platform,
      timeoutMs: timings.platformTimeoutMs,
      clock: systemClock,
      caller: 'operator',
      counter: new ByteCounter(),
    });
    const record: HallRecord = { kind: 'ended', process: toId<ProcessId>(process), operator: 'operator' };
    const appended = await client.appendRecord(streams.toHallStream(cell, toId<HallId>(hall)), record);
    await client.stop();
    if (!appended.ok) {
      writeError(`${formatPlatformError(appended.error)} It is safe to run the command again.`);
      return exitCodes.failed;
    }
    writeLine(`Recorded at offset ${appended.value}.`);
    return exitCodes.done;
  },
};
