import type { CrashBlame } from '../../jobs/CrashBlame';
import { countEffectiveCrashes } from './countEffectiveCrashes';
import { crashLimits } from './crashLimits';
import type { TaskCrashes } from './TaskCrashes';

const SUSPECT_BLAMES: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared', 'inherited']);

/**
 * Returns true when a task has a crash record with sole, shared or inherited blame, or several records of any kind. Crash suspects are started on
 * different endpoints, so that they don't share crashes.
 */
export const isCrashSuspect = (task: TaskCrashes): boolean =>
  countEffectiveCrashes(task) >= crashLimits.suspectAfterCrashes ||
  task.crashes.some(({ blame }) => SUSPECT_BLAMES.has(blame));
