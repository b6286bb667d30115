import { formatColumns } from '../cli/formatColumns';
import type { CauseSums } from './CauseSums';
import type { createLedger } from './createLedger';
import { ledgerCauses } from './ledgerCauses';

type Ledger = ReturnType<typeof createLedger>;
type LedgerJob = Ledger['worst'][number];

const MS_PER_SECOND = 1000;

const toMs = (value: number): string => value.toFixed(0);

const toCells = (sums: CauseSums): readonly string[] => [
  String(sums.readJobCount()),
  toMs(sums.readMeanTotal()),
  ...ledgerCauses.map((cause) => toMs(sums.readMean(cause))),
];

const formatJob = ({ account, path, totalMs }: LedgerJob): string => {
  const steps = path.map(
    ({ cause, from, to, run }) => `${cause} ${toMs(to - from)}${run === '' ? '' : ` (${run})`}`,
  );
  return `${account.job} ${account.queue} ${account.ending} ${toMs(totalMs)} ms: ${steps.join(', ')}`;
};

/** Formats a ledger for people: mean milliseconds a job, by queue, then by window, then the jobs that took longest. */
export const formatLedger = ({ queues, lateQueues, depth, worst }: Ledger): string => {
  const heads = ['jobs', 'total', ...ledgerCauses];
  const totals = queues.map(({ queue, openCount, sums }) => [queue, openCount, ...toCells(sums)]);
  const late = lateQueues.map(({ queue, sums }) => [queue, ...toCells(sums)]);
  const part = depth === 0 ? '' : `, of one in ${2 ** depth} jobs: lines of others were left out`;
  const windows = queues.flatMap((one) =>
    one.windows.map(({ fromMs, sums }) => [one.queue, fromMs / MS_PER_SECOND, ...toCells(sums)]),
  );
  return [
    `Mean milliseconds a job that has ended, by queue${part}:`,
    formatColumns(['queue', 'open', ...heads], totals),
    '',
    ...(late.length === 0
      ? []
      : ['Jobs that ended late or failed, all:', formatColumns(['queue', ...heads], late), '']),
    'By time of acceptance, in seconds from the first job:',
    formatColumns(['queue', 'from', ...heads], windows),
    '',
    'The jobs that took longest:',
    ...worst.map(formatJob),
  ].join('\n');
};
