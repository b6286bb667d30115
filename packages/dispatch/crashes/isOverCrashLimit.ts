import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

const LIKELY: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared']);

/**
 * Returns true when a task has so many crash records that it must not be started again. While there are unexplained losses, one crash more with sole
 * blame is tolerated.
 */
export const isOverCrashLimit = (crashes: readonly TaskCrash[], hasUnexplainedLosses: boolean): boolean => {
  const soleCount = crashes.filter(({ blame }) => blame === 'sole').length;
  const likelyCount = crashes.filter(({ blame }) => LIKELY.has(blame)).length;
  const { maxSole, maxSoleDuringLosses, maxLikely, maxAll } = crashLimits;
  const soleLimit = hasUnexplainedLosses ? maxSoleDuringLosses : maxSole;
  return soleCount >= soleLimit || likelyCount >= maxLikely || crashes.length >= maxAll;
};
