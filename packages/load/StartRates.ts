/** The rate of a new leader is unknown for this time, since it starts few tasks at first. */
const WARM_UP_MS = 3000;
const SECOND_MS = 1000;
/** Longer than the stalls of starts that a fault causes. */
const WINDOW_SECONDS = 10;

/**
 * Rate at which tasks of each queue can start. The best second of a sliding window counts, so that a stall does not lower the rate and
 * overestimate the waits that follow.
 */
export class StartRates {
  /** Number of starts by queue and second. */
  private readonly counts = new Map<string, Map<number, number>>();

  /** Starts are counted from the monotonic time `since` on. */
  constructor(private readonly since: number) {}

  recordStart(queue: string, now: number): void {
    const counts = this.getRecentCounts(queue, now);
    const second = Math.floor(now / SECOND_MS);
    counts.set(second, (counts.get(second) ?? 0) + 1);
    this.counts.set(queue, counts);
  }

  /** Returns the highest number of starts in one second of the window; undefined while too little has been counted. */
  computePerSecond(queue: string, now: number): number | undefined {
    return now - this.since < WARM_UP_MS
      ? undefined
      : Math.max(0, ...this.getRecentCounts(queue, now).values());
  }

  /** Returns the counts of a queue by second, and drops those before the window. */
  private getRecentCounts(queue: string, now: number): Map<number, number> {
    const counts = this.counts.get(queue) ?? new Map<number, number>();
    const oldest = Math.floor(now / SECOND_MS) - WINDOW_SECONDS;
    for (const second of counts.keys()) {
      if (second >= oldest) {
        break;
      }
      counts.delete(second);
    }
    return counts;
  }
}
