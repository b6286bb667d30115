import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

const LIKELY_BLAMES: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared']);

/**
 * Returns true when a task must not be started again, as its crash records reach the limit on sole, on sole or shared, or on any blame. The first limit
 * is higher while there are unexplained crashes.
 */
export const isOverCrashLimit = (crashes: readonly TaskCrash[], hasUnexplainedCrashes: boolean): boolean => {
  const soleCount = crashes.filter(({ blame }) => blame === 'sole').length;
  const likelyCount = crashes.filter(({ blame }) => LIKELY_BLAMES.has(blame)).length;
  const { maxSoleCrashes, maxSoleDuringUnexplained, maxLikelyCrashes, maxCrashes } = crashLimits;
  const soleLimit = hasUnexplainedCrashes ? maxSoleDuringUnexplained : maxSoleCrashes;
  return soleCount >= soleLimit || likelyCount >= maxLikelyCrashes || crashes.length >= maxCrashes;
};
