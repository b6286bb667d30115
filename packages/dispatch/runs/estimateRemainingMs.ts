import type { PlacedRun } from './PlacedRun';

/** Percent below which a run's speed is not known. */
const KNOWN_SPEED_PERCENT = 5;

/** Estimated time until a run ends: by its speed so far, before that by the estimate for the whole of it. */
export const estimateRemainingMs = (run: PlacedRun, estimatedMs: number, now: number): number => {
  const ageMs = now - run.placedAt;
  if (run.percent < KNOWN_SPEED_PERCENT) {
    return Math.max(0, estimatedMs - ageMs);
  }
  const wholeMs = ((run.progressedAt - run.placedAt) * 100) / run.percent;
  return Math.max(0, wholeMs - ageMs);
};
