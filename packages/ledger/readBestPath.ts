import type { JobAccount } from './JobAccount';
import type { LedgerSpan } from './LedgerSpan';
import { readCriticalPath } from './readCriticalPath';

/** What clocks of boxes, and the rounding of a told path, may make of the same time. */
const SLACK_MS = 50;

/** Time of which a path does not say what it went into: the job was with a leader that the teller does not know, or lines are missing. */
const readVagueMs = (path: readonly LedgerSpan[]): number =>
  path
    .filter(({ cause }) => cause === 'unknown' || cause === 'handOver')
    .reduce((sum, { from, to }) => sum + to - from, 0);

/**
 * The path of a job that has ended: by its leader's one line about it where there is one, since lines may be missing between those that are there. By its
 * lines where those tell more: an earlier leader had it for long.
 */
export const readBestPath = (account: JobAccount): readonly LedgerSpan[] => {
  const path = readCriticalPath(account);
  const { toldPath, acceptedAt, acceptMs } = account;
  if (toldPath === undefined || readVagueMs(path) + SLACK_MS < readVagueMs(toldPath)) {
    return path;
  }
  const accept: LedgerSpan = { cause: 'accept', from: acceptedAt - acceptMs, to: acceptedAt, run: '' };
  return acceptMs > 0 ? [accept, ...toldPath] : toldPath;
};
