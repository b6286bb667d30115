import { createLedger } from '../ledger/createLedger';
import { formatLedger } from '../ledger/formatLedger';
import { readJobHistories } from '../ledger/readJobHistories';
import { readSamplingLevel } from '../ledger/readSamplingLevel';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { readLogFiles } from './readLogFiles';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

const DEFAULT_WINDOW_SECONDS = 2;
const DEFAULT_SLOWEST_COUNT = 10;
const MS_PER_SECOND = 1000;

/** Parses an option as a positive, finite number. Returns the default without the option, and undefined for an invalid value. */
const parsePositiveNumber = (
  value: string | boolean | undefined,
  defaultValue: number,
): number | undefined => {
  const number = value === undefined ? defaultValue : Number(value);
  return number > 0 && Number.isFinite(number) ? number : undefined;
};

/** `stairline ledger`: breaks down the time of jobs into phases, from the logs of all boxes. */
export const ledgerCommand: Command = {
  name: 'ledger',
  summary: 'Break down the time of jobs into phases from the logs of all boxes, and list the slowest jobs.',
  usage: '[--window SECONDS] [--worst COUNT] [--json] LOG-FILE...',
  options: {
    window: {
      type: 'string',
      help: `seconds of acceptance time that jobs are grouped by (${DEFAULT_WINDOW_SECONDS})`,
    },
    worst: { type: 'string', help: `number of slowest jobs to show (${DEFAULT_SLOWEST_COUNT})` },
    json: { type: 'boolean', help: 'print the phases of each job as one JSON object a line' },
  },
  run: ({ positionals, values }) => {
    const windowSeconds = parsePositiveNumber(values['window'], DEFAULT_WINDOW_SECONDS);
    const slowestCount = parsePositiveNumber(values['worst'], DEFAULT_SLOWEST_COUNT);
    if (positionals.length === 0 || windowSeconds === undefined || slowestCount === undefined) {
      writeError('Expected at least one log file, and positive numbers for --window and --worst.');
      return Promise.resolve(exitCodes.usage);
    }
    const lines = readLogFiles(positionals);
    if (lines === undefined) {
      return Promise.resolve(exitCodes.usage);
    }
    const histories = readJobHistories(lines);
    if (histories.length === 0) {
      writeError('The logs contain no accepted job.');
      return Promise.resolve(exitCodes.failed);
    }
    const isJson = values['json'] === true;
    const ledger = createLedger(histories, {
      windowMs: windowSeconds * MS_PER_SECOND,
      samplingLevel: readSamplingLevel(lines),
      slowestCount: isJson ? histories.length : slowestCount,
    });
    if (isJson) {
      ledger.slowestJobs.forEach(({ history: { job, queue, ending }, path, totalMs }) =>
        writeLine(JSON.stringify({ job, queue, ending, totalMs, path })),
      );
    } else {
      writeLine(formatLedger(ledger));
    }
    return Promise.resolve(exitCodes.done);
  },
};
