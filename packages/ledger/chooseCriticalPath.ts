import type { JobHistory } from './JobHistory';
import type { LedgerCause } from './LedgerCause';
import type { LedgerSpan } from './LedgerSpan';
import { computeCriticalPath } from './computeCriticalPath';

/** Tolerance for clock skew between boxes and for the rounding of logged paths. */
const CLOCK_SKEW_MS = 50;
/** Causes whose time counts as unexplained: they don't say what the job waited for. */
const UNEXPLAINED_CAUSES: ReadonlySet<LedgerCause> = new Set(['unknown', 'handOver', 'leader']);

/** Computes how many milliseconds of a path have one of the unexplained causes. */
const computeUnexplainedMs = (path: readonly LedgerSpan[]): number =>
  path.filter(({ cause }) => UNEXPLAINED_CAUSES.has(cause)).reduce((sum, { from, to }) => sum + to - from, 0);

/**
 * Returns the time at which the leader that logged the path had added the job: the end of a first `handOver` span, otherwise the start of
 * the path, or `fallback` for an empty path.
 */
const getAddedAt = ([first]: readonly LedgerSpan[], fallback: number): number =>
  first?.cause === 'handOver' ? first.to : (first?.from ?? fallback);

/**
 * Merges two paths at the time when the leader that logged `loggedPath` had added the job: before it the path computed from the lines of
 * earlier leaders, after it the spans of the logged path.
 */
const mergePaths = (history: JobHistory, loggedPath: readonly LedgerSpan[]): readonly LedgerSpan[] => {
  const addedAt = getAddedAt(loggedPath, history.acceptedAt);
  const earlierRuns = [...history.runs].filter(([, { endedAt = Infinity }]) => endedAt <= addedAt);
  // A new leader logs its takeover only after it has added all jobs.
  const takeOvers = history.takeOvers.map((at) => (Math.abs(at - addedAt) <= CLOCK_SKEW_MS ? addedAt : at));
  const historyBefore = { ...history, endedAt: addedAt, runs: new Map(earlierRuns), takeOvers };
  const isFromLeader = ({ from }: LedgerSpan): boolean => from >= addedAt;
  return [...computeCriticalPath(historyBefore), ...loggedPath.filter(isFromLeader)];
};

/**
 * Chooses the critical path of a job. Without a logged path it is the one computed from the log lines. Otherwise it is the path that leaves
 * the least time unexplained: the logged path, the logged path merged with the lines of earlier leaders, or the computed path. The logged
 * path wins unless another one leaves at least the tolerance less unexplained.
 */
export const chooseCriticalPath = (history: JobHistory): readonly LedgerSpan[] => {
  const { loggedPath, acceptedAt, acceptMs } = history;
  const pathFromLines = computeCriticalPath(history);
  if (loggedPath === undefined) {
    return pathFromLines;
  }
  const accept: LedgerSpan = { cause: 'accept', from: acceptedAt - acceptMs, to: acceptedAt, run: '' };
  const preferred = acceptMs > 0 ? [accept, ...loggedPath] : loggedPath;
  const alternatives = [mergePaths(history, loggedPath), pathFromLines];
  return alternatives.reduce(
    (best, path) => (computeUnexplainedMs(path) + CLOCK_SKEW_MS < computeUnexplainedMs(best) ? path : best),
    preferred,
  );
};
