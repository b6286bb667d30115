import type { TaskCrash } from '../../jobs/TaskCrash';
import { crashLimits } from './crashLimits';

/**
 * How long a task waits before its next start, for the endpoints that it alone may have ended, in milliseconds. Those that share a crash do
 * not wait: all but one of them are sound, and they have lost their work and some seconds already.
 */
export const computeBackoffMs = (crashes: readonly TaskCrash[]): number => {
  const soleCount = crashes.filter(({ blame }) => blame === 'sole').length;
  const { initialBackoffMs: firstPauseMs, maxBackoffMs: maxPauseMs } = crashLimits;
  return soleCount === 0 ? 0 : Math.min(maxPauseMs, firstPauseMs * 2 ** (soleCount - 1));
};
