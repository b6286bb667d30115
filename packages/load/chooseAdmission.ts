import { computeCriticalPaths } from '../jobs/computeCriticalPaths';
import { computeMaxUsefulLatencyMs } from '../jobs/computeMaxUsefulLatencyMs';
import type { AdmissionDecision } from './AdmissionDecision';
import type { AdmissionRequest } from './AdmissionRequest';
import type { KnownLoad } from './KnownLoad';
import type { LoadDigest } from './LoadDigest';

/** Minimum time after which a refused caller is told to retry: one publish interval of digests. */
const MIN_RETRY_AFTER_MS = 1000;
/** Maximum jitter of the retry time, as a share of the retry time. Spreads the retries of callers that were refused together. */
const MAX_JITTER_SHARE = 0.5;
/** Number of digits of a job's id that determine its jitter. */
const JITTER_DIGITS = 6;

/** Returns the processor demand of all tasks without dependencies, fillers excluded, in thousandths of a core. */
const computeInitialCpuMillis = ({ steps }: AdmissionRequest): number =>
  steps
    .filter(({ dependsOn, isFiller }) => dependsOn.length === 0 && !isFiller)
    .reduce((sum, { count, demand }) => sum + count * demand.cpuMillis, 0);

/**
 * Returns how long a job may wait for its start and still be useful to its caller, in milliseconds from now. Its own run time is not
 * subtracted.
 */
const computeMaxWaitMs = ({ queue, steps, dueInMs }: AdmissionRequest): number => {
  const objectiveMs = queue.targetLatencyMs + queue.stretch * Math.max(0, ...computeCriticalPaths(steps));
  return dueInMs + computeMaxUsefulLatencyMs(objectiveMs);
};

/**
 * Returns the factor on the expected wait, 0 to 1: the customer's dominant share divided by its fair share; 0 for a customer that is not
 * among those with waiting tasks, and 1 without a customer, a fair share or any customers in the digest.
 */
const computeShareOfExpectedWait = (digest: LoadDigest, { customer }: AdmissionRequest): number => {
  if (customer === undefined) {
    return 1;
  }
  const load = digest.customers.find((row) => row.customer === customer);
  if (load === undefined) {
    return digest.customers.length === 0 ? 1 : 0;
  }
  return load.fairShare === 0 ? 1 : Math.min(1, load.dominantShare / load.fairShare);
};

/** Returns the jitter of a job, 0 to 1, from the last digits of its id. The jitter is the same on every box. */
const computeJitter = ({ id }: AdmissionRequest): number =>
  parseInt(id.slice(-JITTER_DIGITS), 16) / 16 ** JITTER_DIGITS;

/** Returns after how many milliseconds a refused caller should retry: the excess wait with jitter, at least `MIN_RETRY_AFTER_MS`. */
const computeRetryAfterMs = (excessMs: number, request: AdmissionRequest): number => {
  const earliestMs = Math.max(MIN_RETRY_AFTER_MS, excessMs);
  const jitteredMs = Math.round(earliestMs * (1 + MAX_JITTER_SHARE * computeJitter(request)));
  // Jitter must not delay the retry beyond the time that the caller waits.
  return Math.max(earliestMs, Math.min(jitteredMs, request.callerWaitMs));
};

/**
 * Admits a job, unless its first tasks do not fit into the free capacity and its expected wait is longer than the job may wait. Admits the job when
 * the load of its queue is unknown.
 */
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
  const expectedWaitMs = Math.round(queue.expectedWaitMs * computeShareOfExpectedWait(load.digest, request));
  const maxWaitMs = computeMaxWaitMs(request);
  return expectedWaitMs <= maxWaitMs
    ? { kind: 'bearable', expectedWaitMs }
    : {
        kind: 'hopeless',
        expectedWaitMs,
        retryAfterMs: computeRetryAfterMs(expectedWaitMs - maxWaitMs, request),
      };
};
