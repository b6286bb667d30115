import { formatColumns } from '../cli/formatColumns';
import type { CauseSums } from './CauseSums';
import type { createLedger } from './createLedger';
import { ledgerCauses } from './ledgerCauses';

type Ledger = ReturnType<typeof createLedger>;
type LedgerJob = Ledger['slowestJobs'][number];

const MS_PER_SECOND = 1000;

const formatMs = (value: number): string => value.toFixed(0);

const toMeanCells = (sums: CauseSums): readonly string[] => [
  String(sums.countJobs()),
  formatMs(sums.getMeanTotalMs()),
  ...ledgerCauses.map((cause) => formatMs(sums.getMeanMs(cause))),
];

const formatJobPath = ({ history, path, totalMs }: LedgerJob): string => {
  const spans = path.map(
    ({ cause, from, to, run }) => `${cause} ${formatMs(to - from)}${run === '' ? '' : ` (${run})`}`,
  );
  return `${history.job} ${history.queue} ${history.ending} ${formatMs(totalMs)} ms: ${spans.join(', ')}`;
};

/** Formats a ledger as text: mean milliseconds per job by queue, then by window of acceptance, then the jobs that took longest. */
export const formatLedger = ({ queues, lateQueues, samplingLevel, slowestJobs }: Ledger): string => {
  const headers = ['jobs', 'total', ...ledgerCauses];
  const totals = queues.map(({ queue, openJobCount, sums }) => [queue, openJobCount, ...toMeanCells(sums)]);
  const late = lateQueues.map(({ queue, sums }) => [queue, ...toMeanCells(sums)]);
  const sampleNote =
    samplingLevel === 0 ? '' : `, of one in ${2 ** samplingLevel} jobs: lines of others were left out`;
  const windows = queues.flatMap((row) =>
    row.windows.map(({ fromMs, sums }) => [row.queue, fromMs / MS_PER_SECOND, ...toMeanCells(sums)]),
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
    ...slowestJobs.map(formatJobPath),
  ].join('\n');
};
