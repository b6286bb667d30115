import type { WaitCause } from './WaitCause';
import type { WaitTimes } from './WaitTimes';

/** Waiting times in whole milliseconds for a line of the log, without the causes that took none. */
export const toRoundedTimes = (times: WaitTimes): Partial<Record<WaitCause, number>> =>
  Object.fromEntries(
    Object.entries(times)
      .map(([cause, ms]) => [cause, Math.round(ms)] as const)
      .filter(([, ms]) => ms > 0),
  );
