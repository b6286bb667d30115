import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { GangCheckpoint } from './GangCheckpoint';

/**
 * What an ended member leaves to its gang; undefined for nothing. Members work in step, so the one that was saved last has most; one that was
 * stopped is saved at its end, one that was broken some time before.
 */
export const getGangCheckpoint = (
  run: PlacedRun,
  { reportedEnd: how, checkpoint }: RunEnd,
  now: number,
): GangCheckpoint | undefined => {
  const kept = checkpoint === '' ? run.checkpoint : checkpoint;
  if (kept === '') {
    return undefined;
  }
  const isNewer = checkpoint !== '' && checkpoint !== run.checkpoint;
  const knownAt = isNewer ? run.seenAt : (run.checkpointedAt ?? run.confirmedAt);
  return { checkpoint: kept, run: run.run, savedAt: how === 'stopped' ? now : knownAt };
};
