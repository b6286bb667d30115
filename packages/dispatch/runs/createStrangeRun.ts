import { toId } from '../../common/toId';
import type { JobId } from '../../jobs/JobId';
import { demandSums } from '../../jobs/demandSums';
import type { PlacedRun } from './PlacedRun';
import type { RunningRow } from '../endpoints/RunningRow';

/** Creates the book entry of a run whose job is not known: its room is not known either, but it is stopped at once. */
export const createStrangeRun = (row: RunningRow, now: number): PlacedRun => ({
  task: row.task,
  job: toId<JobId>(''),
  address: { time: 0, step: 0, index: 0 },
  run: row.run,
  demand: demandSums.NOTHING,
  customer: undefined,
  charge: demandSums.NOTHING,
  isFiller: false,
  isServing: false,
  priority: 0,
  isSuspect: false,
  isFromStart: false,
  stage: 'running',
  isListed: true,
  carriedFrom: undefined,
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
