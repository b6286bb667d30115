import type { Clock } from './Clock';

/** Clock that also gives an upper bound of elapsed time that includes possible suspensions of the machine. */
export interface MachineClock extends Clock {
  /**
   * Returns an upper bound of the milliseconds elapsed since a monotonic time. Use it for the expiry of leases that this process
   * holds; use the monotonic time for the expiry of leases that others hold.
   */
  getMaxElapsedSince(since: number): number;
}
