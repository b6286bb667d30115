import { computeCriticalPaths } from '../jobs/computeCriticalPaths';
import { computeMaxUsefulMs } from '../jobs/computeMaxUsefulMs';
import type { AdmissionDecision } from './AdmissionDecision';
import type { AdmissionRequest } from './AdmissionRequest';
import type { KnownLoad } from './KnownLoad';
import type { LoadDigest } from './LoadDigest';

/** One publish interval of digests. */
const MIN_RETRY_MS = 1000;
/** Maximum addition to the retry time, as a part of it. Spreads the retries of callers that were refused together. */
const JITTER_PART = 0.5;
/** Number of digits of a job's id that determine its jitter. */
const ID_DIGITS = 6;

/** Returns the processor demand of the tasks that could start at once, in thousandths of a core. */
const computeInitialCpuMillis = ({ steps }: AdmissionRequest): number =>
  steps
    .filter(({ dependsOn, isFiller }) => dependsOn.length === 0 && !isFiller)
    .reduce((sum, { count, demand }) => sum + count * demand.cpuMillis, 0);

/** Returns how long a job may wait and be useful to its caller, in milliseconds. Does not subtract its own run time, in favour of admission. */
const computeMaxWaitMs = ({ queue, steps, dueInMs }: AdmissionRequest): number => {
  const objectiveMs = queue.targetLatencyMs + queue.stretch * Math.max(0, ...computeCriticalPaths(steps));
  return dueInMs + computeMaxUsefulMs(objectiveMs);
};

/** Returns the factor on the expected wait: below 1 for customers below their fair share, 0 for customers with nothing waiting. */
const computeWaitFactor = (digest: LoadDigest, { customer }: AdmissionRequest): number => {
  if (customer === undefined) {
    return 1;
  }
  const load = digest.customers.find((row) => row.customer === customer);
  if (load === undefined) {
    return digest.customers.length === 0 ? 1 : 0;
  }
  return load.fairShare === 0 ? 1 : Math.min(1, load.dominantShare / load.fairShare);
};

/** Returns the jitter of a job, 0 to 1, by its id. It is the same on every box. */
const computeJitter = ({ id }: AdmissionRequest): number =>
  parseInt(id.slice(-ID_DIGITS), 16) / 16 ** ID_DIGITS;

const computeRetryAfterMs = (excessMs: number, request: AdmissionRequest): number => {
  const earliestMs = Math.max(MIN_RETRY_MS, excessMs);
  const jitteredMs = Math.round(earliestMs * (1 + JITTER_PART * computeJitter(request)));
  // Jitter must not delay the retry beyond the time that the caller waits.
  return Math.max(earliestMs, Math.min(jitteredMs, request.leftMs));
};

/** Admits a job, or refuses it when it could not end while useful, by a fresh load digest. */
export const chooseAdmission = (
  load: KnownLoad | undefined,
  request: AdmissionRequest,
): AdmissionDecision => {
  const queue = load?.digest.queues.find((row) => row.queue === request.queue.name);
  if (load === undefined || queue === undefined) {
    return { kind: 'unknown' };
  }
  if (computeInitialCpuMillis(request) <= load.digest.freeCpuMillis) {
    return { kind: 'room' };
  }
  const expectedWaitMs = Math.round(queue.expectedWaitMs * computeWaitFactor(load.digest, request));
  const maxWaitMs = computeMaxWaitMs(request);
  return expectedWaitMs <= maxWaitMs
    ? { kind: 'bearable', expectedWaitMs }
    : {
        kind: 'hopeless',
        expectedWaitMs,
        retryAfterMs: computeRetryAfterMs(expectedWaitMs - maxWaitMs, request),
      };
};
