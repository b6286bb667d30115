import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { GangCheckpoint } from './GangCheckpoint';

/**
 * Returns the checkpoint that an ended member leaves to its gang; undefined for none. The checkpoint of a stopped member holds
 * the member's work up to its end, the checkpoint of any other member up to the time at which it was written or last known.
 */
export const getGangCheckpoint = (
  run: PlacedRun,
  { reportedEnd, checkpoint }: RunEnd,
  now: number,
): GangCheckpoint | undefined => {
  const newest = checkpoint === '' ? run.checkpoint : checkpoint;
  if (newest === '') {
    return undefined;
  }
  const isNewer = checkpoint !== '' && checkpoint !== run.checkpoint;
  const knownAt = isNewer ? run.lastListedAt : (run.checkpointedAt ?? run.startConfirmedAt);
  return { checkpoint: newest, runNumber: run.run, savedAt: reportedEnd === 'stopped' ? now : knownAt };
};
