import type { EvictionInput } from './EvictionInput';

/**
 * Returns whether a run, or a gang, that can't end before its endpoint's drain deadline is to be stopped now. Runs that save their work
 * go on until `marginMs` before the deadline; others are stopped at once.
 */
export const isEvictionDue = (
  { untilDeadlineMs, remainingMs, isSavingOnStop }: EvictionInput,
  marginMs: number,
): boolean => remainingMs > untilDeadlineMs && (!isSavingOnStop || untilDeadlineMs < marginMs);
