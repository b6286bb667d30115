import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

const LIKELY: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared']);

/**
 * True when so many endpoints have ended under a task that it is not started any more; one more is borne while endpoints are lost for which no
 * start can be blamed.
 */
export const isOverCrashLimit = (crashes: readonly TaskCrash[], isAmongLosses: boolean): boolean => {
  const soleCount = crashes.filter(({ blame }) => blame === 'sole').length;
  const likelyCount = crashes.filter(({ blame }) => LIKELY.has(blame)).length;
  const { maxSole, maxSoleDuringLosses: maxSoleAmongLosses, maxLikely, maxAll } = crashLimits;
  const borne = isAmongLosses ? maxSoleAmongLosses : maxSole;
  return soleCount >= borne || likelyCount >= maxLikely || crashes.length >= maxAll;
};
