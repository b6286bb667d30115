import type { PlacedRun } from '../runs/PlacedRun';

const FULL_PERCENT = 100;

/**
 * Returns the estimated time until a run ends, in milliseconds, at least 0. It uses the pace of the run up to the newest poll; for a run
 * that resumed from a checkpoint or has made no progress, the baseline pace.
 */
export const estimateRemainingByPaceMs = (run: PlacedRun, baselinePace: number, now: number): number => {
  const workedMs = run.lastListedAt - run.startConfirmedAt;
  const hasPace = run.isFromStart && run.percent > 0 && workedMs > 0;
  const pace = hasPace ? workedMs / run.percent : baselinePace;
  return Math.max(0, pace * (FULL_PERCENT - run.percent) - (now - run.lastListedAt));
};
