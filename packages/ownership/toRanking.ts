import { createHash } from 'node:crypto';
import type { ProcessId } from '../common/ProcessId';
import type { UnitId } from '../common/UnitId';
import { toBox } from './toBox';

const toScore = (unit: UnitId, process: ProcessId): string =>
  createHash('sha1')
    .update(`${unit}|${toBox(process)}`)
    .digest('hex') + process;

/**
 * Ranks a view's members for a unit by rendezvous hashing (Thaler and Ravishankar, 1998): the first that has
 * not ended is the owner. The hash takes the box, not the process, so a restarted box gets its units back.
 */
export const toRanking = (unit: UnitId, members: readonly ProcessId[]): readonly ProcessId[] => {
  const scored = members.map((process) => ({ process, score: toScore(unit, process) }));
  scored.sort((left, right) => (left.score < right.score ? 1 : -1));
  return scored.map((entry) => entry.process);
};
