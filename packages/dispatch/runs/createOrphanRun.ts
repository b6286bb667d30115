import { toId } from '../../common/toId';
import type { JobId } from '../../jobs/JobId';
import { resourceMath } from '../../jobs/resourceMath';
import type { PlacedRun } from './PlacedRun';
import type { RunningTaskStatus } from '../endpoints/RunningTaskStatus';

/** Creates the state of a run that an endpoint lists and whose job is unknown. The run has no job, and its demand counts as zero. */
export const createOrphanRun = (status: RunningTaskStatus, now: number): PlacedRun => ({
  task: status.task,
  job: toId<JobId>(''),
  address: { repetition: 0, step: 0, index: 0 },
  run: status.run,
  demand: resourceMath.ZERO,
  customer: undefined,
  charge: resourceMath.ZERO,
  isFiller: false,
  isServing: false,
  priority: 0,
  isCrashSuspect: false,
  isFromStart: false,
  stage: 'running',
  hasBeenListed: true,
  transferredFrom: undefined,
  waitTimes: undefined,
  placedAt: now,
  recordedAt: now,
  startConfirmedAt: now,
  startTimedOutAt: undefined,
  stopRetryTimedFrom: undefined,
  stopCause: undefined,
  isStopRepeated: false,
  stopRespondedAt: undefined,
  percent: status.percent,
  lastListedAt: now,
  lastProgressAt: now,
  checkpoint: status.checkpoint,
  checkpointedAt: undefined,
});
