/** The two clocks of a process. Safety rules use the monotonic one alone. */
export interface Clock {
  /** Monotonic time in milliseconds; its zero has no meaning. */
  readNow(): number;
  /** Wall clock time in milliseconds since 1970, for people and logs only. */
  readWall(): number;
}
