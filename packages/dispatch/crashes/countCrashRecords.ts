import type { TaskProgress } from '../../jobs/TaskProgress';
import { crashLimits } from './crashLimits';

/**
 * Returns the number of crashes that are put down to a task. Unconfirmed ones count only for a task with several crash records: endpoints that leave by
 * plan, or are partitioned, don't make a healthy task suspect.
 */
export const countCrashRecords = ({
  crashes,
  unconfirmedCrashes,
}: Pick<TaskProgress, 'crashes' | 'unconfirmedCrashes'>): number => {
  const isCountingAll = crashes.length >= crashLimits.minCrashesWithUnconfirmed;
  return crashes.length + (isCountingAll ? unconfirmedCrashes.length : 0);
};
