import { toReservedDemand } from '../../jobs/toReservedDemand';
import type { JobDefinition } from '../../jobs/JobDefinition';
import type { TaskAddress } from '../../jobs/TaskAddress';
import { toTaskName } from '../../jobs/toTaskName';
import type { PlacedRun } from './PlacedRun';

/** Flags of a new run; false by default. */
interface PlacedRunFlags {
  /** True if there is no checkpoint to resume from. */
  readonly isFromStart?: boolean;
  /** True if the task is suspected of having crashed an endpoint. */
  readonly isCrashSuspect?: boolean;
}

/** Creates the state of a run of a known job, in the stage `recording`. */
export const createPlacedRun = (
  definition: JobDefinition,
  address: TaskAddress,
  runNumber: number,
  now: number,
  { isFromStart = false, isCrashSuspect = false }: PlacedRunFlags = {},
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
    priority: definition.queue.priority,
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
