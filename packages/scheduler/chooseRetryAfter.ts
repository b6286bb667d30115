import type { Random } from '../common/Random';
import { SCHEDULER } from './constants';

/** Chooses when a caller should come back: about when the queue has drained, spread so that callers do not return together. */
export const chooseRetryAfter = (drainMs: number, random: Random): number => {
  const bound = Math.min(SCHEDULER.maxRetryAfterMs, Math.max(SCHEDULER.minRetryAfterMs, drainMs));
  return Math.round(bound * (0.5 + random()));
};
