import type { PreemptionEstimate } from './PreemptionEstimate';

/** Expected duration of a preemption: a stop, the poll that shows its end, and a round of placement. */
const EXPECTED_PREEMPTION_MS = 500;
/** Share of its slack that a step may wait before its objective is considered at risk. */
const SAFE_SLACK_SHARE = 0.1;
/** Steps that are late by more than this multiple of their allowed time don't preempt others. */
const MAX_LATENESS_FACTOR = 2;
const MILLIS = 1000;

/** Returns whether a preemption gains more than it loses. A step that will be in time without it gains nothing. */
export const isPreemptionWorthwhile = (estimate: PreemptionEstimate): boolean => {
  // Freed capacity may go to other steps, so a step is expected to wait at least as long again as it has waited.
  const expectedWaitMs = Math.max(estimate.roomWaitMs, estimate.waitedMs);
  const savedMs = expectedWaitMs - EXPECTED_PREEMPTION_MS;
  const isInTime = expectedWaitMs < estimate.slackMs * SAFE_SLACK_SHARE;
  const isHopeless = estimate.slackMs < -MAX_LATENESS_FACTOR * estimate.allowedMs;
  if (savedMs <= 0 || isInTime || isHopeless) {
    return false;
  }
  return (savedMs * estimate.waitingCpuMillis) / MILLIS > estimate.lostCoreMs;
};
