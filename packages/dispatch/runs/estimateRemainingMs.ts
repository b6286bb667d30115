import type { PlacedRun } from './PlacedRun';

/** Progress below which the speed of a run is not used. */
const MIN_PERCENT_FOR_SPEED = 5;

/**
 * Estimates the time until a run ends, in milliseconds, from its speed so far; below `MIN_PERCENT_FOR_SPEED`, from
 * `estimatedMs` for the whole run.
 */
export const estimateRemainingMs = (run: PlacedRun, estimatedMs: number, now: number): number => {
  const ageMs = now - run.placedAt;
  if (run.percent < MIN_PERCENT_FOR_SPEED) {
    return Math.max(0, estimatedMs - ageMs);
  }
  const totalMs = ((run.lastProgressAt - run.placedAt) * 100) / run.percent;
  return Math.max(0, totalMs - ageMs);
};
