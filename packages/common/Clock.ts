/** Monotonic and wall clock of a process. Only the monotonic clock is safe for leases and timeouts. */
export interface Clock {
  /** Returns the monotonic time in milliseconds since an arbitrary origin. */
  getNow(): number;
  /** Returns the wall clock time in milliseconds since 1970. */
  getWallTime(): number;
}
