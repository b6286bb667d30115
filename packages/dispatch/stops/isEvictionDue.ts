import type { EvictionInput } from './EvictionInput';

/**
 * Returns whether a run is to be evicted now because it won't end before the drain deadline of its endpoint. Runs that write a checkpoint
 * when they are stopped go on until `marginMs` before the deadline; others are evicted at once.
 */
export const isEvictionDue = (
  { untilDrainDeadlineMs, remainingMs, isSavingOnStop }: EvictionInput,
  marginMs: number,
): boolean => remainingMs > untilDrainDeadlineMs && (!isSavingOnStop || untilDrainDeadlineMs < marginMs);
