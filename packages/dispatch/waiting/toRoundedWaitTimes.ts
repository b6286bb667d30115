import type { WaitCause } from './WaitCause';
import type { WaitTimes } from './WaitTimes';

/** Converts wait times for a log line: to whole milliseconds, without the causes that round to 0. */
export const toRoundedWaitTimes = (waitTimes: WaitTimes): Partial<Record<WaitCause, number>> =>
  Object.fromEntries(
    Object.entries(waitTimes)
      .map(([cause, ms]) => [cause, Math.round(ms)] as const)
      .filter(([, ms]) => ms > 0),
  );
