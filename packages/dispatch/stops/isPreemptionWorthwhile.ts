import type { PreemptionEstimate } from './PreemptionEstimate';

/** Expected time from a preemption until the step starts: a stop, the poll that reports the end, and a round of placement. */
const EXPECTED_PREEMPTION_MS = 500;
/** A step that is expected to wait less than this share of its slack meets its objective without preemption. */
const SAFE_SLACK_SHARE = 0.1;
/** Steps that are late by more than this multiple of the time to their objective don't preempt others. */
const MAX_LATENESS_FACTOR = 2;
const CPU_MILLIS_PER_CORE = 1000;

/**
 * Returns whether the step gains more core-milliseconds by an earlier start than the victims lose. It is false for a step that will be in
 * time anyway, or that is far too late.
 */
export const isPreemptionWorthwhile = (estimate: PreemptionEstimate): boolean => {
  // Freed capacity may go to other steps, so a step is expected to wait at least as long again as it has waited.
  const expectedWaitMs = Math.max(estimate.roomWaitMs, estimate.waitedMs);
  const savedMs = expectedWaitMs - EXPECTED_PREEMPTION_MS;
  const isInTime = expectedWaitMs < estimate.slackMs * SAFE_SLACK_SHARE;
  const isHopeless = estimate.slackMs < -MAX_LATENESS_FACTOR * estimate.allowedMs;
  if (savedMs <= 0 || isInTime || isHopeless) {
    return false;
  }
  return (savedMs * estimate.waitingCpuMillis) / CPU_MILLIS_PER_CORE > estimate.lostCoreMs;
};
