import { CauseSums } from './CauseSums';
import type { JobAccount } from './JobAccount';
import type { LedgerSpan } from './LedgerSpan';
import { computeSamplingLevel } from '../logging/computeSamplingLevel';
import { readBestPath } from './readBestPath';

interface LedgerOptions {
  readonly windowMs: number;
  readonly worstCount: number;
  readonly depth?: number;
}

interface LedgerJob {
  readonly account: JobAccount;
  readonly path: readonly LedgerSpan[];
  /** From the caller's call to the job's end. */
  readonly totalMs: number;
}

interface LedgerWindow {
  /** Milliseconds from the first acceptance on. */
  readonly fromMs: number;
  readonly sums: CauseSums;
}

interface LedgerQueue {
  readonly queue: string;
  readonly sums: CauseSums;
  /** Jobs without an end: those that last, those that were under way when the logs end, and those whose end has no line. */
  readonly openCount: number;
  /** By the time of acceptance, in order. */
  readonly windows: readonly LedgerWindow[];
}

interface Ledger {
  /** Over all jobs, or over those of the smallest share that was told whole. */
  readonly queues: readonly LedgerQueue[];
  /** Over all jobs that their leader says have ended late, whatever their share. */
  readonly lateQueues: readonly LedgerQueue[];
  /** One in 2^n jobs is summed by queue, where lines of the others were left out. */
  readonly depth: number;
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
    sums.recordPath(path);
    windows.set(fromMs, sums);
  }
  return [...windows]
    .map(([fromMs, sums]) => ({ fromMs, sums }))
    .sort((left, right) => left.fromMs - right.fromMs);
};

const createQueue = (
  queue: string,
  accounts: readonly JobAccount[],
  jobs: readonly LedgerJob[],
  startedAt: number,
  windowMs: number,
): LedgerQueue => {
  const sums = new CauseSums();
  jobs.forEach(({ path }) => sums.recordPath(path));
  const windows = createWindows(jobs, startedAt, windowMs);
  return { queue, sums, openCount: accounts.length - jobs.length, windows };
};

const toLedgerJob = (account: JobAccount): LedgerJob => {
  const path = readBestPath(account);
  return { account, path, totalMs: path.reduce((sum, { from, to }) => sum + to - from, 0) };
};

/** Sums jobs by queue. */
const createQueues = (
  accounts: readonly JobAccount[],
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
 * Sums where the time of jobs went, by queue, window of acceptance and cause, and names the jobs that took longest. `depth` is that of the smallest share of
 * jobs that was told whole: a sum over jobs whose lines are partly missing, and over the late ones that are told always, would mislead.
 */
export const createLedger = (
  accounts: readonly JobAccount[],
  { windowMs, worstCount, depth = 0 }: LedgerOptions,
): Ledger => {
  const startedAt = accounts.reduce((first, { acceptedAt }) => Math.min(first, acceptedAt), Infinity);
  const isInShare = ({ job }: JobAccount): boolean => computeSamplingLevel(job) >= depth;
  const isLate = ({ toldPath }: JobAccount): boolean => toldPath !== undefined;
  const ended = accounts.filter(({ endedAt }) => endedAt !== undefined).map(toLedgerJob);
  const chosen = ended.filter(({ account }) => isInShare(account));
  const late = ended.filter(({ account }) => isLate(account));
  const queues = createQueues(accounts.filter(isInShare), chosen, startedAt, windowMs);
  const lateQueues = createQueues(accounts.filter(isLate), late, startedAt, windowMs);
  const worst = [...ended].sort((left, right) => right.totalMs - left.totalMs).slice(0, worstCount);
  return { queues, lateQueues, depth, worst };
};
