import { crashLimits } from './crashLimits';
import type { TaskCrashes } from './TaskCrashes';

/**
 * Returns the number of a task's crashes that count towards the limits on crashes of any kind. Unconfirmed ones count only for a task with several crash
 * records: endpoints that leave by plan, or are partitioned, don't make a healthy task suspect.
 */
export const countEffectiveCrashes = ({ crashes, unconfirmedCrashes }: TaskCrashes): number => {
  const isCountingAll = crashes.length >= crashLimits.minCrashesWithUnconfirmed;
  return crashes.length + (isCountingAll ? unconfirmedCrashes.length : 0);
};
