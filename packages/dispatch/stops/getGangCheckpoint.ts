import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { GangCheckpoint } from './GangCheckpoint';

/**
 * Returns the checkpoint that an ended member leaves to its gang; undefined for none. A stopped member saves its work at its end,
 * others did so some time before.
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
  return { checkpoint: newest, run: run.run, savedAt: reportedEnd === 'stopped' ? now : knownAt };
};
