import { computeCriticalPaths } from '../jobs/computeCriticalPaths';
import { computeMaxUsefulMs } from '../jobs/computeMaxUsefulMs';
import type { AdmissionDecision } from './AdmissionDecision';
import type { AdmissionRequest } from './AdmissionRequest';
import type { KnownLoad } from './KnownLoad';
import type { LoadDigest } from './LoadDigest';

/** Nobody is sent away for less: the next digest may tell otherwise. */
const MIN_RETRY_MS = 1000;
/** Callers that are refused together come back over so much more time, by their ids, rather than in one wave. */
const SPREAD_PART = 0.5;
/** Digits of a job's id that choose its place in that time. */
const ID_DIGITS = 6;

/** Processor time that the job could start with at once. */
const measureFirstCpu = ({ steps }: AdmissionRequest): number =>
  steps
    .filter(({ dependsOn, isFiller }) => dependsOn.length === 0 && !isFiller)
    .reduce((sum, { count, demand }) => sum + count * demand.cpuMillis, 0);

/** Longest time that a job may wait before it is of no use, by its caller's estimates; they err on the side of taking. */
const measureUsefulMs = ({ queue, steps, dueInMs }: AdmissionRequest): number => {
  const objectiveMs = queue.targetLatencyMs + queue.stretch * Math.max(0, ...computeCriticalPaths(steps));
  return dueInMs + computeMaxUsefulMs(objectiveMs);
};

/** A customer that holds less than it is owed waits behind others for so much less. */
const readPatience = (digest: LoadDigest, { customer }: AdmissionRequest): number => {
  if (customer === undefined) {
    return 1;
  }
  const load = digest.customers.find((row) => row.customer === customer);
  if (load === undefined) {
    return digest.customers.length === 0 ? 1 : 0;
  }
  return load.fairShare === 0 ? 1 : Math.min(1, load.dominantShare / load.fairShare);
};

/** Where in the time of return a job stands, 0 to 1; the same on every box. */
const toSpread = ({ id }: AdmissionRequest): number => parseInt(id.slice(-ID_DIGITS), 16) / 16 ** ID_DIGITS;

const measureRetryMs = (hopelessMs: number, caller: AdmissionRequest): number => {
  const earliestMs = Math.max(MIN_RETRY_MS, hopelessMs);
  const spreadMs = Math.round(earliestMs * (1 + SPREAD_PART * toSpread(caller)));
  // Within its time a caller may come back; the spread alone must not take it out of that.
  return Math.max(earliestMs, Math.min(spreadMs, caller.leftMs));
};

/** Takes a job, or refuses it where by a fresh digest it could not be of use to its caller. */
export const chooseAdmission = (load: KnownLoad | undefined, caller: AdmissionRequest): AdmissionDecision => {
  const queue = load?.digest.queues.find((row) => row.queue === caller.queue.name);
  if (load === undefined || queue === undefined) {
    return { kind: 'unknown' };
  }
  if (measureFirstCpu(caller) <= load.digest.freeCpuMillis) {
    return { kind: 'room' };
  }
  const expectedWaitMs = Math.round(queue.expectedWaitMs * readPatience(load.digest, caller));
  const usefulMs = measureUsefulMs(caller);
  return expectedWaitMs <= usefulMs
    ? { kind: 'bearable', expectedWaitMs }
    : { kind: 'hopeless', expectedWaitMs, retryAfterMs: measureRetryMs(expectedWaitMs - usefulMs, caller) };
};
