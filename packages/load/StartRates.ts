/** Time after the start of counting during which the rates are unknown. */
const RATE_WARM_UP_MS = 3000;
const SECOND_MS = 1000;
/** Length of the sliding window over which rates are computed. */
const RATE_WINDOW_SECONDS = 10;

/**
 * Counts the starts of tasks by queue and second. The rate of a queue is the number in the best second of a sliding window: after a stall, waiting tasks
 * drain at that rate, and too low a rate would turn callers away who could be served.
 */
export class StartRates {
  /** Number of starts by queue and second. */
  private readonly startCounts = new Map<string, Map<number, number>>();

  /** Starts are counted from the monotonic time `countingSince` on. */
  constructor(private readonly countingSince: number) {}

  recordStart(queue: string, now: number): void {
    const counts = this.getRecentStartCounts(queue, now);
    const second = Math.floor(now / SECOND_MS);
    counts.set(second, (counts.get(second) ?? 0) + 1);
    this.startCounts.set(queue, counts);
  }

  /** Returns the highest number of starts of a queue in one second of the window; undefined during the warm-up. */
  computeStartsPerSecond(queue: string, now: number): number | undefined {
    return now - this.countingSince < RATE_WARM_UP_MS
      ? undefined
      : Math.max(0, ...this.getRecentStartCounts(queue, now).values());
  }

  /** Returns the counts of a queue by second, after removing those before the window. */
  private getRecentStartCounts(queue: string, now: number): Map<number, number> {
    const counts = this.startCounts.get(queue) ?? new Map<number, number>();
    const oldest = Math.floor(now / SECOND_MS) - RATE_WINDOW_SECONDS;
    for (const second of counts.keys()) {
      if (second >= oldest) {
        break;
      }
      counts.delete(second);
    }
    return counts;
  }
}
