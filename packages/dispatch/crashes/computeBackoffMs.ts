import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

/**
 * Computes the backoff before a task's next start, in milliseconds, from the crashes that the task has the sole blame for: the backoff doubles with each, up to a
 * limit. Returns 0 without such crashes.
 */
export const computeBackoffMs = (crashes: readonly TaskCrash[]): number => {
  const soleCount = crashes.filter(({ blame }) => blame === 'sole').length;
  const { initialBackoffMs, maxBackoffMs } = crashLimits;
  return soleCount === 0 ? 0 : Math.min(maxBackoffMs, initialBackoffMs * 2 ** (soleCount - 1));
};
