import { CauseSums } from './CauseSums';
import type { JobHistory } from './JobHistory';
import type { LedgerSpan } from './LedgerSpan';
import { computeJobSamplingLevel } from '../logging/computeJobSamplingLevel';
import { chooseCriticalPath } from './chooseCriticalPath';

interface LedgerOptions {
  readonly windowMs: number;
  readonly worstCount: number;
  /** Highest sampling level of the logs. */
  readonly samplingLevel?: number;
}

interface LedgerJob {
  readonly account: JobHistory;
  readonly path: readonly LedgerSpan[];
  /** Time from the caller's request to the end of the job. */
  readonly totalMs: number;
}

interface LedgerWindow {
  /** Start of the window, in milliseconds since the first job was accepted. */
  readonly fromMs: number;
  readonly sums: CauseSums;
}

interface LedgerQueue {
  readonly queue: string;
  readonly sums: CauseSums;
  /** Number of jobs without a logged end. */
  readonly openCount: number;
  /** Windows of the time of acceptance, in order. */
  readonly windows: readonly LedgerWindow[];
}

interface Ledger {
  /** Sums of all jobs, or of those in the sample that was logged completely. */
  readonly queues: readonly LedgerQueue[];
  /** Sums of all jobs that a leader logged as failed or late, in the sample or not. */
  readonly lateQueues: readonly LedgerQueue[];
  /** `queues` holds the sums of one in 2^n jobs. */
  readonly samplingLevel: number;
  /** Jobs that took longest. */
  readonly worst: readonly LedgerJob[];
}

const createWindows = (
  jobs: readonly LedgerJob[],
  startedAt: number,
  windowMs: number,
): readonly LedgerWindow[] => {
  const windows = new Map<number, CauseSums>();
  for (const { account, path } of jobs) {
    const fromMs = Math.floor((account.acceptedAt - startedAt) / windowMs) * windowMs;
    const sums = windows.get(fromMs) ?? new CauseSums();
    sums.addPath(path);
    windows.set(fromMs, sums);
  }
  return [...windows]
    .map(([fromMs, sums]) => ({ fromMs, sums }))
    .sort((left, right) => left.fromMs - right.fromMs);
};

const createQueue = (
  queue: string,
  accounts: readonly JobHistory[],
  jobs: readonly LedgerJob[],
  startedAt: number,
  windowMs: number,
): LedgerQueue => {
  const sums = new CauseSums();
  jobs.forEach(({ path }) => sums.addPath(path));
  const windows = createWindows(jobs, startedAt, windowMs);
  return { queue, sums, openCount: accounts.length - jobs.length, windows };
};

const toLedgerJob = (account: JobHistory): LedgerJob => {
  const path = chooseCriticalPath(account);
  return { account, path, totalMs: path.reduce((sum, { from, to }) => sum + to - from, 0) };
};

const createQueues = (
  accounts: readonly JobHistory[],
  jobs: readonly LedgerJob[],
  startedAt: number,
  windowMs: number,
): readonly LedgerQueue[] => {
  const names = [...new Set(accounts.map(({ queue }) => queue))].sort();
  return names.map((queue) =>
    createQueue(
      queue,
      accounts.filter((account) => account.queue === queue),
      jobs.filter(({ account }) => account.queue === queue),
      startedAt,
      windowMs,
    ),
  );
};

/**
 * Creates the sums of job time by queue, window of acceptance and cause, and lists the jobs that took longest. The sums by queue cover only
 * the sample of jobs that was logged completely, since late jobs are logged outside of it too and would bias the means.
 */
export const createLedger = (
  accounts: readonly JobHistory[],
  { windowMs, worstCount, samplingLevel = 0 }: LedgerOptions,
): Ledger => {
  const startedAt = accounts.reduce((earliest, { acceptedAt }) => Math.min(earliest, acceptedAt), Infinity);
  const isSampled = ({ job }: JobHistory): boolean => computeJobSamplingLevel(job) >= samplingLevel;
  const isLate = ({ loggedPath }: JobHistory): boolean => loggedPath !== undefined;
  const ended = accounts.filter(({ endedAt }) => endedAt !== undefined).map(toLedgerJob);
  const sampled = ended.filter(({ account }) => isSampled(account));
  const late = ended.filter(({ account }) => isLate(account));
  const queues = createQueues(accounts.filter(isSampled), sampled, startedAt, windowMs);
  const lateQueues = createQueues(accounts.filter(isLate), late, startedAt, windowMs);
  const worst = [...ended].sort((left, right) => right.totalMs - left.totalMs).slice(0, worstCount);
  return { queues, lateQueues, samplingLevel, worst };
};
