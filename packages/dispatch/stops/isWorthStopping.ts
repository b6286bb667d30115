import type { PreemptionEstimate } from './PreemptionEstimate';

/** Room that is made is there after so long: a stop, the look that shows its end, and a round. */
const MAKE_ROOM_MS = 500;
/** Stops take their time, and estimates are off: a step that would have waited for more than this share of its slack is in danger. */
const SLACK_SHARE = 0.1;
/** Work that is late by so many times what it was allowed helps its caller little, and waits for room that is free. */
const HOPELESS_FACTOR = 2;
const MILLIS = 1000;

/** True when a step gains more by the stops than the stopped runs lose; one that is in time without them gains nothing. */
export const isWorthStopping = (price: PreemptionEstimate): boolean => {
  // Others take what becomes free meanwhile: what has waited for some time will wait for as long again.
  const expectedMs = Math.max(price.roomWaitMs, price.waitedMs);
  const savedMs = expectedMs - MAKE_ROOM_MS;
  const isInTime = expectedMs < price.slackMs * SLACK_SHARE;
  const isHopeless = price.slackMs < -HOPELESS_FACTOR * price.allowedMs;
  if (savedMs <= 0 || isInTime || isHopeless) {
    return false;
  }
  return (savedMs * price.waitingCpuMillis) / MILLIS > price.lostCoreMs;
};
