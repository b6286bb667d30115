import type { JobHistory } from '../ledger/JobHistory';
import type { LedgerSpan } from '../ledger/LedgerSpan';
import { computeCriticalPath } from '../ledger/computeCriticalPath';
import type { RunHistory } from '../ledger/RunHistory';
import { toRunName } from '../ledger/toRunName';
import type { LineFields } from './LineFields';

/** Bounds the number of spans in a line. */
const MAX_LOGGED_SPANS = 40;
/** Bounds the number of runs in a line. */
const MAX_LOGGED_RUNS = 12;

const toRunDurationMs = ({ placedAt, endedAt = placedAt }: RunHistory): number => endedAt - placedAt;

/** Chooses the spans of the critical path that are logged: the longest ones, in order. */
const choosePathRows = (path: readonly LedgerSpan[]): readonly LineFields[] => {
  const shortest = path.map(({ from, to }) => to - from).sort((left, right) => right - left)[
    MAX_LOGGED_SPANS - 1
  ];
  const isShown = ({ from, to }: LedgerSpan): boolean => to - from >= (shortest ?? 0);
  return path
    .filter(isShown)
    .slice(0, MAX_LOGGED_SPANS)
    .map(({ cause, from, to, run }) => ({
      cause,
      ms: Math.round(to - from),
      ...(run === '' ? {} : { run }),
    }));
};

const computeCauseSums = (path: readonly LedgerSpan[]): Readonly<Record<string, number>> => {
  const sums: Record<string, number> = {};
  for (const { cause, from, to } of path) {
    sums[cause] = (sums[cause] ?? 0) + to - from;
  }
  return Object.fromEntries(Object.entries(sums).map(([cause, ms]) => [cause, Math.round(ms)]));
};

/** Formats the runs on the critical path that are logged: the longest ones, in order. */
const formatLongestRuns = (history: JobHistory, path: readonly LedgerSpan[]): readonly LineFields[] => {
  const names = new Set(path.map(({ run }) => run));
  const runs = [...history.runs.values()].filter((run) => names.has(toRunName(run)));
  const longest = [...runs]
    .sort((left, right) => toRunDurationMs(right) - toRunDurationMs(left))
    .slice(0, MAX_LOGGED_RUNS);
  return runs
    .filter((run) => longest.includes(run))
    .map((run) => ({
      run: toRunName(run),
      endpoint: run.endpoint,
      hall: run.hall,
      outcome: run.outcome,
      ...(run.reportedEnd === '' ? {} : { how: run.reportedEnd }),
      ...(run.stopCause === '' ? {} : { why: run.stopCause }),
      ms: Math.round(toRunDurationMs(run)),
    }));
};

/** Formats the log fields of a job that failed or ended late: its time by cause, and the runs on its critical path. */
export const formatLateJob = (history: JobHistory, lateMs: number): LineFields => {
  const { job, queue, ending, acceptedAt, endedAt = acceptedAt } = history;
  const path = computeCriticalPath(history);
  return {
    job,
    queue,
    ending,
    lateMs: Math.round(lateMs),
    totalMs: Math.round(endedAt - acceptedAt),
    causes: computeCauseSums(path),
    path: choosePathRows(path),
    runs: formatLongestRuns(history, path),
  };
};
