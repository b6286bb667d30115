import type { StopPrice } from './StopPrice';

/** Room that is made is there after so long: a stop, the look that shows its end, and a round. */
const MAKE_ROOM_MS = 500;
/** Known ends come later than expected, and others take some of the room: so much of the slack is not waited for. */
const SLACK_SHARE = 0.5;
/** Work that is late by so many times what it was allowed helps its caller little, and waits for room that is free. */
const HOPELESS_FACTOR = 2;
const MILLIS = 1000;

/** True when a step gains more by the stops than the stopped runs lose; one that is in time without them gains nothing. */
export const isWorthStopping = (price: StopPrice): boolean => {
  const savedMs = price.roomWaitMs - MAKE_ROOM_MS;
  const isInTime = price.roomWaitMs < price.slackMs * SLACK_SHARE;
  const isHopeless = price.slackMs < -HOPELESS_FACTOR * price.allowedMs;
  if (savedMs <= 0 || isInTime || isHopeless) {
    return false;
  }
  return (savedMs * price.waitingCpuMillis) / MILLIS > price.lostCoreMs;
};
