import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';

const CPU_MILLIS_PER_CORE = 1000;

/**
 * Returns the work of an ended run that is in no checkpoint, in core-milliseconds. It is 0 for a run that left a checkpoint when it was
 * stopped, and for one whose start was never sent.
 */
export const computeLostCoreMs = (
  run: PlacedRun,
  { reportedEnd, checkpoint }: RunEnd,
  now: number,
): number => {
  const isAllSaved = reportedEnd === 'stopped' && checkpoint !== '';
  if (run.stage === 'recording' || isAllSaved) {
    return 0;
  }
  const savedAt = run.checkpointedAt ?? run.startConfirmedAt;
  return Math.round((Math.max(0, now - savedAt) * run.demand.cpuMillis) / CPU_MILLIS_PER_CORE);
};
