/** Longer than a round of placement and any answer, shorter than the objectives of most work. */
const WINDOW_MS = 3000;
const MS_PER_S = 1000;

/** How fast tasks of each queue have started of late, which is how fast what waits there drains, whatever it waits for. */
export class StartRates {
  private readonly starts = new Map<string, number[]>();

  /** `since` is the monotonic time from which starts have been counted. */
  constructor(private readonly since: number) {}

  recordStart(queue: string, now: number): void {
    const known = this.starts.get(queue);
    if (known === undefined) {
      this.starts.set(queue, [now]);
    } else {
      known.push(now);
    }
  }

  /** Starts a second; undefined while it has been counted for too short a time. */
  readPerSecond(queue: string, now: number): number | undefined {
    if (now - this.since < WINDOW_MS) {
      return undefined;
    }
    const recent = (this.starts.get(queue) ?? []).filter((at) => at > now - WINDOW_MS);
    this.starts.set(queue, recent);
    return (recent.length * MS_PER_S) / WINDOW_MS;
  }
}
