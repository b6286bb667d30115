import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

const LIKELY_BLAMES: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared']);

/**
 * Returns true when a task has so many crash records that it must not be started again. While there are unexplained losses, one crash more with sole
 * blame is tolerated.
 */
export const isOverCrashLimit = (crashes: readonly TaskCrash[], hasUnexplainedCrashes: boolean): boolean => {
  const soleCount = crashes.filter(({ blame }) => blame === 'sole').length;
  const likelyCount = crashes.filter(({ blame }) => LIKELY_BLAMES.has(blame)).length;
  const { maxSoleCrashes, maxSoleDuringUnexplained, maxLikelyCrashes, maxCrashes } = crashLimits;
  const soleLimit = hasUnexplainedCrashes ? maxSoleDuringUnexplained : maxSoleCrashes;
  return soleCount >= soleLimit || likelyCount >= maxLikelyCrashes || crashes.length >= maxCrashes;
};
