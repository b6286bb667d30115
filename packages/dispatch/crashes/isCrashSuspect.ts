import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

const SUSPECT_BLAMES: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared', 'inherited']);

/**
 * Returns true when a task may be to blame for a confirmed crash, or was present at several. Crash suspects are started on different endpoints, so
 * that a healthy task doesn't share the crashes of another.
 */
export const isCrashSuspect = (crashes: readonly TaskCrash[]): boolean =>
  crashes.length >= crashLimits.suspectAfterCrashes || crashes.some(({ blame }) => SUSPECT_BLAMES.has(blame));
