/** A leader that has just taken over starts less than it will. */
const LEARN_MS = 3000;
const SECOND_MS = 1000;
/** Longer than the seconds in which a fault holds starts up. */
const WINDOW_SECONDS = 10;

/**
 * How fast tasks of each queue can start, which is how fast what waits there drains, whatever it waits for. The best second of late counts: after a
 * stall what waits drains at that rate, and a wait that is expected too long would turn callers away who could be served.
 */
export class StartRates {
  /** Starts by second, by queue. */
  private readonly counts = new Map<string, Map<number, number>>();

  /** `since` is the monotonic time from which starts have been counted. */
  constructor(private readonly since: number) {}

  recordStart(queue: string, now: number): void {
    const counts = this.readRecent(queue, now);
    const second = Math.floor(now / SECOND_MS);
    counts.set(second, (counts.get(second) ?? 0) + 1);
    this.counts.set(queue, counts);
  }

  /** Starts a second; undefined while it has been counted for too short a time. */
  computePerSecond(queue: string, now: number): number | undefined {
    return now - this.since < LEARN_MS ? undefined : Math.max(0, ...this.readRecent(queue, now).values());
  }

  /** Counts of the last seconds; older ones are forgotten. */
  private readRecent(queue: string, now: number): Map<number, number> {
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
