import type { PlacedRun } from '../runs/PlacedRun';

const WHOLE = 100;

/** Milliseconds that a run still takes as seen at its newest look; by the usual pace while it has shown none of its own. */
export const measureOutlook = (run: PlacedRun, usualPace: number, now: number): number => {
  const workedMs = run.seenAt - run.confirmedAt;
  const hasPace = run.isFromStart && run.percent > 0 && workedMs > 0;
  const pace = hasPace ? workedMs / run.percent : usualPace;
  return Math.max(0, pace * (WHOLE - run.percent) - (now - run.seenAt));
};
