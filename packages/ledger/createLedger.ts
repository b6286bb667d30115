import { CauseSums } from './CauseSums';
import type { JobHistory } from './JobHistory';
import type { LedgerSpan } from './LedgerSpan';
import { computeJobSamplingLevel } from '../logging/computeJobSamplingLevel';
import { chooseCriticalPath } from './chooseCriticalPath';

interface LedgerOptions {
  /** Width of the windows that jobs are grouped by, by time of acceptance. */
  readonly windowMs: number;
  /** Maximum number of slowest jobs to list. */
  readonly slowestCount: number;
  /** Level n at which only one in 2^n jobs was logged completely; 0 (the default) when all were. */
  readonly samplingLevel?: number;
}

interface LedgerJob {
  readonly history: JobHistory;
  readonly path: readonly LedgerSpan[];
  /** Duration of the critical path in milliseconds: from the caller's request to the end of the job. */
  readonly totalMs: number;
}

interface LedgerWindow {
  /** Start of the window, in milliseconds since the first job was accepted. */
  readonly fromMs: number;
  /** Sums of the ended jobs that were accepted in the window. */
  readonly sums: CauseSums;
}

interface LedgerQueue {
  readonly queue: string;
  /** Sums of the queue's ended jobs. */
  readonly sums: CauseSums;
  /** Number of the queue's jobs without a logged end. */
  readonly openJobCount: number;
  /** Sums by time of acceptance, earliest window first; windows without ended jobs are left out. */
  readonly windows: readonly LedgerWindow[];
}

interface Ledger {
  /** Sums of the jobs in the sample of `samplingLevel`, whose logs are complete; of all jobs at level 0. */
  readonly queues: readonly LedgerQueue[];
  /** Sums of the jobs that a leader logged as failed or late, in the sample or not. */
  readonly lateQueues: readonly LedgerQueue[];
  /** `queues` holds the sums of one in 2^n jobs. */
  readonly samplingLevel: number;
  /** Jobs that took longest, in the sample or not, longest first. */
  readonly slowestJobs: readonly LedgerJob[];
}

const createWindows = (
  jobs: readonly LedgerJob[],
  firstAcceptedAt: number,
  windowMs: number,
): readonly LedgerWindow[] => {
  const windows = new Map<number, CauseSums>();
  for (const { history, path } of jobs) {
    const fromMs = Math.floor((history.acceptedAt - firstAcceptedAt) / windowMs) * windowMs;
    const sums = windows.get(fromMs) ?? new CauseSums();
    sums.addPath(path);
    windows.set(fromMs, sums);
  }
  return [...windows]
    .map(([fromMs, sums]) => ({ fromMs, sums }))
    .sort((left, right) => left.fromMs - right.fromMs);
};

const createLedgerQueue = (
  queue: string,
  histories: readonly JobHistory[],
  jobs: readonly LedgerJob[],
  firstAcceptedAt: number,
  windowMs: number,
): LedgerQueue => {
  const sums = new CauseSums();
  jobs.forEach(({ path }) => sums.addPath(path));
  const windows = createWindows(jobs, firstAcceptedAt, windowMs);
  return { queue, sums, openJobCount: histories.length - jobs.length, windows };
};

const toLedgerJob = (history: JobHistory): LedgerJob => {
  const path = chooseCriticalPath(history);
  return { history, path, totalMs: path.reduce((sum, { from, to }) => sum + to - from, 0) };
};

const createLedgerQueues = (
  histories: readonly JobHistory[],
  jobs: readonly LedgerJob[],
  firstAcceptedAt: number,
  windowMs: number,
): readonly LedgerQueue[] => {
  const names = [...new Set(histories.map(({ queue }) => queue))].sort();
  return names.map((queue) =>
    createLedgerQueue(
      queue,
      histories.filter((history) => history.queue === queue),
      jobs.filter(({ history }) => history.queue === queue),
      firstAcceptedAt,
      windowMs,
    ),
  );
};

/**
 * Creates the sums of job time by queue, window of acceptance and cause, and the list of the jobs that took longest. Jobs outside of the
 * sample are left out of the sums in `queues`: of those only late and failed jobs are logged, which would bias the means.
 */
export const createLedger = (
  histories: readonly JobHistory[],
  { windowMs, slowestCount, samplingLevel = 0 }: LedgerOptions,
): Ledger => {
  const firstAcceptedAt = histories.reduce(
    (earliest, { acceptedAt }) => Math.min(earliest, acceptedAt),
    Infinity,
  );
  const isSampled = ({ job }: JobHistory): boolean => computeJobSamplingLevel(job) >= samplingLevel;
  const isLate = ({ loggedPath }: JobHistory): boolean => loggedPath !== undefined;
  const ended = histories.filter(({ endedAt }) => endedAt !== undefined).map(toLedgerJob);
  const sampled = ended.filter(({ history }) => isSampled(history));
  const late = ended.filter(({ history }) => isLate(history));
  const queues = createLedgerQueues(histories.filter(isSampled), sampled, firstAcceptedAt, windowMs);
  const lateQueues = createLedgerQueues(histories.filter(isLate), late, firstAcceptedAt, windowMs);
  const slowestJobs = [...ended].sort((left, right) => right.totalMs - left.totalMs).slice(0, slowestCount);
  return { queues, lateQueues, samplingLevel, slowestJobs };
};
