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
export const formatLedger = ({ queues, worst }: Ledger): string => {
  const heads = ['jobs', 'total', ...ledgerCauses];
  const totals = queues.map(({ queue, openCount, sums }) => [queue, openCount, ...toCells(sums)]);
  const windows = queues.flatMap((one) =>
    one.windows.map(({ fromMs, sums }) => [one.queue, fromMs / MS_PER_SECOND, ...toCells(sums)]),
  );
  return [
    'Mean milliseconds a job that has ended, by queue:',
    formatColumns(['queue', 'open', ...heads], totals),
    '',
    'The same by time of acceptance, in seconds from the first:',
    formatColumns(['queue', 'from', ...heads], windows),
    '',
    'The jobs that took longest:',
    ...worst.map(formatJob),
  ].join('\n');
};
