import type { JobHistory } from './JobHistory';
import type { LedgerCause } from './LedgerCause';
import type { LedgerSpan } from './LedgerSpan';
import { computeCriticalPath } from './computeCriticalPath';

/** Tolerance for clock differences between boxes and for the rounding of logged paths. */
const CLOCK_SKEW_MS = 50;
/** Causes that don't explain what the job waited for. */
const UNEXPLAINED_CAUSES: ReadonlySet<LedgerCause> = new Set(['unknown', 'handOver', 'leader']);

const computeUnexplainedMs = (path: readonly LedgerSpan[]): number =>
  path.filter(({ cause }) => UNEXPLAINED_CAUSES.has(cause)).reduce((sum, { from, to }) => sum + to - from, 0);

/** Returns when the leader that logged the path had added the job. */
const getAddedAt = ([first]: readonly LedgerSpan[], fallback: number): number =>
  first?.cause === 'handOver' ? first.to : (first?.from ?? fallback);

/** Merges the path from the lines of earlier leaders with the logged path, which begins when its leader had added the job. */
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
 * Chooses the critical path of an ended job that leaves the least time unexplained: the path that its leader logged, that path merged with
 * the lines of earlier leaders, or the lines alone. The logged path is preferred, since other lines may be missing.
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
