import { toId } from '../../common/toId';
import type { JobId } from '../../jobs/JobId';
import { resourceMath } from '../../jobs/resourceMath';
import type { PlacedRun } from './PlacedRun';
import type { RunningTaskStatus } from '../endpoints/RunningTaskStatus';

/** Creates the book entry of a run whose job is not known: its room is not known either, but it is stopped at once. */
export const createOrphanRun = (row: RunningTaskStatus, now: number): PlacedRun => ({
  task: row.task,
  job: toId<JobId>(''),
  address: { time: 0, step: 0, index: 0 },
  run: row.run,
  demand: resourceMath.NOTHING,
  customer: undefined,
  charge: resourceMath.NOTHING,
  isFiller: false,
  isServing: false,
  priority: 0,
  isCrashSuspect: false,
  isFromStart: false,
  stage: 'running',
  isListed: true,
  transferredFrom: undefined,
  waits: undefined,
  placedAt: now,
  recordedAt: now,
  confirmedAt: now,
  unansweredAt: undefined,
  stopSentAt: undefined,
  stopCause: undefined,
  isStopRepeated: false,
  stopAnsweredAt: undefined,
  percent: row.percent,
  seenAt: now,
  progressedAt: now,
  checkpoint: row.checkpoint,
  checkpointedAt: undefined,
});
