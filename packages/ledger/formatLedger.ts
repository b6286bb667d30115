import { formatColumns } from '../cli/formatColumns';
import type { CauseSums } from './CauseSums';
import type { createLedger } from './createLedger';
import { ledgerCauses } from './ledgerCauses';

type Ledger = ReturnType<typeof createLedger>;
type LedgerJob = Ledger['worst'][number];

const MS_PER_SECOND = 1000;

const formatMs = (value: number): string => value.toFixed(0);

const toCells = (sums: CauseSums): readonly string[] => [
  String(sums.countJobs()),
  formatMs(sums.getMeanTotalMs()),
  ...ledgerCauses.map((cause) => formatMs(sums.getMeanMs(cause))),
];

const formatJob = ({ account, path, totalMs }: LedgerJob): string => {
  const spans = path.map(
    ({ cause, from, to, run }) => `${cause} ${formatMs(to - from)}${run === '' ? '' : ` (${run})`}`,
  );
  return `${account.job} ${account.queue} ${account.ending} ${formatMs(totalMs)} ms: ${spans.join(', ')}`;
};

/** Formats a ledger as text: mean milliseconds per job by queue, then by window of acceptance, then the jobs that took longest. */
export const formatLedger = ({ queues, lateQueues, samplingLevel, worst }: Ledger): string => {
  const headers = ['jobs', 'total', ...ledgerCauses];
  const totals = queues.map(({ queue, openCount, sums }) => [queue, openCount, ...toCells(sums)]);
  const late = lateQueues.map(({ queue, sums }) => [queue, ...toCells(sums)]);
  const sampleNote =
    samplingLevel === 0 ? '' : `, of one in ${2 ** samplingLevel} jobs: lines of others were left out`;
  const windows = queues.flatMap((row) =>
    row.windows.map(({ fromMs, sums }) => [row.queue, fromMs / MS_PER_SECOND, ...toCells(sums)]),
  );
  return [
    `Mean milliseconds a job that has ended, by queue${sampleNote}:`,
    formatColumns(['queue', 'open', ...headers], totals),
    '',
    ...(late.length === 0
      ? []
      : ['Jobs that ended late or failed, all:', formatColumns(['queue', ...headers], late), '']),
    'By time of acceptance, in seconds from the first job:',
    formatColumns(['queue', 'from', ...headers], windows),
    '',
    'The jobs that took longest:',
    ...worst.map(formatJob),
  ].join('\n');
};
