import { CauseSums } from './CauseSums';
import type { JobAccount } from './JobAccount';
import type { LedgerSpan } from './LedgerSpan';
import { readCriticalPath } from './readCriticalPath';

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
  readonly queues: readonly LedgerQueue[];
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
  const path = readCriticalPath(account);
  return { account, path, totalMs: path.reduce((sum, { from, to }) => sum + to - from, 0) };
};

/** Sums where the time of jobs went, by queue, window of acceptance and cause, and names the jobs that took longest. */
export const createLedger = (
  accounts: readonly JobAccount[],
  { windowMs, worstCount }: { readonly windowMs: number; readonly worstCount: number },
): Ledger => {
  const startedAt = accounts.reduce((first, { acceptedAt }) => Math.min(first, acceptedAt), Infinity);
  const ended = accounts.filter(({ endedAt }) => endedAt !== undefined).map(toLedgerJob);
  const queueNames = [...new Set(accounts.map(({ queue }) => queue))].sort();
  const queues = queueNames.map((queue) =>
    createQueue(
      queue,
      accounts.filter((account) => account.queue === queue),
      ended.filter(({ account }) => account.queue === queue),
      startedAt,
      windowMs,
    ),
  );
  const worst = [...ended].sort((left, right) => right.totalMs - left.totalMs).slice(0, worstCount);
  return { queues, worst };
};
