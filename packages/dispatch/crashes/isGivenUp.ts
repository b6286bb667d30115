import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

const LIKELY: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared']);

/** True when so many endpoints have ended under a task that it is not started any more. */
export const isGivenUp = (crashes: readonly TaskCrash[]): boolean => {
  const soleCount = crashes.filter(({ blame }) => blame === 'sole').length;
  const likelyCount = crashes.filter(({ blame }) => LIKELY.has(blame)).length;
  const { maxSole, maxLikely, maxAll } = crashLimits;
  return soleCount >= maxSole || likelyCount >= maxLikely || crashes.length >= maxAll;
};
