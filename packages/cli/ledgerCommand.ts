import { createLedger } from '../ledger/createLedger';
import { formatLedger } from '../ledger/formatLedger';
import { readAccounts } from '../ledger/readAccounts';
import { readToldDepth } from '../ledger/readToldDepth';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { readLogFiles } from './readLogFiles';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

const DEFAULT_WINDOW_SECONDS = 2;
const DEFAULT_WORST_COUNT = 10;
const MS_PER_SECOND = 1000;

/** Reads an option that must be a number above zero; undefined when it is not. */
const readPositive = (value: string | boolean | undefined, otherwise: number): number | undefined => {
  const number = value === undefined ? otherwise : Number(value);
  return number > 0 && Number.isFinite(number) ? number : undefined;
};

/** `stairline ledger`: where the time of jobs went, from the logs of all boxes. */
export const ledgerCommand: Command = {
  name: 'ledger',
  summary: 'Sum from the logs of all boxes what the time of jobs went into, and name the slowest jobs.',
  usage: '[--window SECONDS] [--worst COUNT] [--json] LOG-FILE...',
  options: {
    window: {
      type: 'string',
      help: `seconds of acceptance that are summed together (${DEFAULT_WINDOW_SECONDS})`,
    },
    worst: { type: 'string', help: `how many of the slowest jobs are shown (${DEFAULT_WORST_COUNT})` },
    json: { type: 'boolean', help: 'the path of each job as one JSON object a line' },
  },
  start: ({ positionals, values }) => {
    const windowSeconds = readPositive(values['window'], DEFAULT_WINDOW_SECONDS);
    const worstCount = readPositive(values['worst'], DEFAULT_WORST_COUNT);
    if (positionals.length === 0 || windowSeconds === undefined || worstCount === undefined) {
      writeError('Give at least one log file; --window and --worst take numbers above zero.');
      return Promise.resolve(exitCodes.usage);
    }
    const lines = readLogFiles(positionals);
    if (lines === undefined) {
      return Promise.resolve(exitCodes.usage);
    }
    const accounts = readAccounts(lines);
    if (accounts.length === 0) {
      writeError('No line of the logs tells of an accepted job.');
      return Promise.resolve(exitCodes.failed);
    }
    const isJson = values['json'] === true;
    const ledger = createLedger(accounts, {
      windowMs: windowSeconds * MS_PER_SECOND,
      depth: readToldDepth(lines),
      worstCount: isJson ? accounts.length : worstCount,
    });
    if (isJson) {
      ledger.worst.forEach(({ account: { job, queue, ending }, path, totalMs }) =>
        writeLine(JSON.stringify({ job, queue, ending, totalMs, path })),
      );
    } else {
      writeLine(formatLedger(ledger));
    }
    return Promise.resolve(exitCodes.done);
  },
};
