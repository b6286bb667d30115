import type { Clock } from './Clock';

/** The clocks of a process on a machine that may be suspended. */
export interface MachineClock extends Clock {
  /**
   * The longest time that may have passed since a monotonic one, in milliseconds. A right of one's own, such as giving leases, counts by this;
   * what others may still be doing counts by `readNow`.
   */
  readLongestSince(since: number): number;
}
