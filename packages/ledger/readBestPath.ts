import type { JobAccount } from './JobAccount';
import type { LedgerCause } from './LedgerCause';
import type { LedgerSpan } from './LedgerSpan';
import { readCriticalPath } from './readCriticalPath';

/** What clocks of boxes, and the rounding of a told path, may make of the same time. */
const SLACK_MS = 50;
/** Causes that say only that another knows, or nobody. */
const VAGUE: ReadonlySet<LedgerCause> = new Set(['unknown', 'handOver', 'leader']);

const readVagueMs = (path: readonly LedgerSpan[]): number =>
  path.filter(({ cause }) => VAGUE.has(cause)).reduce((sum, { from, to }) => sum + to - from, 0);

/** When the leader that told the path had taken the job in. */
const readToldFrom = ([first]: readonly LedgerSpan[], otherwise: number): number =>
  first?.cause === 'handOver' ? first.to : (first?.from ?? otherwise);

/** By the lines of earlier leaders until the leader that told the path had the job, and from then on as that told it. */
const createJoinedPath = (account: JobAccount, toldPath: readonly LedgerSpan[]): readonly LedgerSpan[] => {
  const toldFrom = readToldFrom(toldPath, account.acceptedAt);
  const endedBefore = [...account.runs].filter(([, { endedAt = Infinity }]) => endedAt <= toldFrom);
  // The leader's line that it leads follows when it has taken all jobs in.
  const takeOvers = account.takeOvers.map((at) => (Math.abs(at - toldFrom) <= SLACK_MS ? toldFrom : at));
  const before = { ...account, endedAt: toldFrom, runs: new Map(endedBefore), takeOvers };
  const isToldAnew = ({ from }: LedgerSpan): boolean => from >= toldFrom;
  return [...readCriticalPath(before), ...toldPath.filter(isToldAnew)];
};

/**
 * The path of a job that has ended, from what tells most: its leader's one line about it, which goes first since lines may be missing between those that
 * are there, that line with those of earlier leaders, or the lines alone.
 */
export const readBestPath = (account: JobAccount): readonly LedgerSpan[] => {
  const { toldPath, acceptedAt, acceptMs } = account;
  const lines = readCriticalPath(account);
  if (toldPath === undefined) {
    return lines;
  }
  const accept: LedgerSpan = { cause: 'accept', from: acceptedAt - acceptMs, to: acceptedAt, run: '' };
  const told = acceptMs > 0 ? [accept, ...toldPath] : toldPath;
  const others = [createJoinedPath(account, toldPath), lines];
  return others.reduce((best, one) => (readVagueMs(one) + SLACK_MS < readVagueMs(best) ? one : best), told);
};
