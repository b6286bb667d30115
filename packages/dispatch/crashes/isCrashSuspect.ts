import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

const SUSPECT_BLAMES: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared', 'inherited']);

/**
 * Returns true when a task has a crash record with sole, shared or inherited blame, or several records of any kind. Crash suspects are started on
 * different endpoints, so that they don't share crashes.
 */
export const isCrashSuspect = (crashes: readonly TaskCrash[]): boolean =>
  crashes.length >= crashLimits.suspectAfterCrashes || crashes.some(({ blame }) => SUSPECT_BLAMES.has(blame));
