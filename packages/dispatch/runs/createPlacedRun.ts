import { toReservedDemand } from '../../jobs/toReservedDemand';
import type { JobDefinition } from '../../jobs/JobDefinition';
import type { JobQueue } from '../../jobs/JobQueue';
import type { TaskAddress } from '../../jobs/TaskAddress';
import { toTaskName } from '../../jobs/toTaskName';
import type { PlacedRun } from './PlacedRun';

interface PlacedRunOptions {
  /** Policy that the job follows; the one at its acceptance by default. */
  readonly queue?: JobQueue;
  /** True if there is no checkpoint to resume from; false by default. */
  readonly isFromStart?: boolean;
  /** True if the task is suspected of having crashed an endpoint; false by default. */
  readonly isCrashSuspect?: boolean;
}

/** Creates the state of a run of a known job, in the stage `recording`. */
export const createPlacedRun = (
  definition: JobDefinition,
  address: TaskAddress,
  runNumber: number,
  now: number,
  { queue = definition.queue, isFromStart = false, isCrashSuspect = false }: PlacedRunOptions = {},
): PlacedRun => {
  const shape = definition.steps[address.step]!;
  return {
    task: toTaskName(definition.id, address),
    job: definition.id,
    address,
    run: runNumber,
    demand: toReservedDemand(shape),
    customer: definition.customer?.name,
    charge: shape.demand,
    isFiller: shape.isFiller,
    isServing: shape.isLongRunning && !shape.isFiller,
    priority: queue.priority,
    isCrashSuspect,
    isFromStart,
    stage: 'recording',
    hasBeenListed: false,
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
    percent: 0,
    lastListedAt: now,
    lastProgressAt: now,
    checkpoint: '',
    checkpointedAt: undefined,
  };
};
