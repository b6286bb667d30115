import type { CrashBlame } from '../../jobs/CrashBlame';
import { countEffectiveCrashes } from './countEffectiveCrashes';
import { crashLimits } from './crashLimits';
import type { TaskCrashes } from './TaskCrashes';

const LIKELY_BLAMES: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared']);

/**
 * Returns true when a task must not be started again, as its crash records reach the limit on sole, on sole or shared, or on any blame. The first limit
 * is higher while there are unexplained crashes. Unconfirmed crashes count towards the last one.
 */
export const isOverCrashLimit = (task: TaskCrashes, hasUnexplainedCrashes: boolean): boolean => {
  const soleCount = task.crashes.filter(({ blame }) => blame === 'sole').length;
  const likelyCount = task.crashes.filter(({ blame }) => LIKELY_BLAMES.has(blame)).length;
  const { maxSoleCrashes, maxSoleDuringUnexplained, maxLikelyCrashes, maxCrashes } = crashLimits;
  const soleLimit = hasUnexplainedCrashes ? maxSoleDuringUnexplained : maxSoleCrashes;
  return (
    soleCount >= soleLimit || likelyCount >= maxLikelyCrashes || countEffectiveCrashes(task) >= maxCrashes
  );
};
