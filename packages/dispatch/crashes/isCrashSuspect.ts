import type { CrashBlame } from '../../jobs/CrashBlame';
import type { TaskProgress } from '../../jobs/TaskProgress';
import { countCrashRecords } from './countCrashRecords';
import { crashLimits } from './crashLimits';

const SUSPECT_BLAMES: ReadonlySet<CrashBlame> = new Set<CrashBlame>(['sole', 'shared', 'inherited']);

/**
 * Returns true when a task has a crash record with sole, shared or inherited blame, or several records of any kind. Crash suspects are started on
 * different endpoints, so that they don't share crashes.
 */
export const isCrashSuspect = (task: Pick<TaskProgress, 'crashes' | 'unconfirmedCrashes'>): boolean =>
  countCrashRecords(task) >= crashLimits.suspectAfterCrashes ||
  task.crashes.some(({ blame }) => SUSPECT_BLAMES.has(blame));
