/** Slowdown of the endpoints with one label. */
interface LabelSlowdown {
  /** Number of runs recorded. */
  runCount: number;
  /** Mean slowdown of the runs; exponentially weighted once there are more than `WINDOW_RUNS`. */
  slowdown: number;
}

/** Minimum number of runs from which a slowdown is used. */
const MIN_RUN_COUNT = 100;
/** Length of the moving average, in runs. */
const AVERAGE_WINDOW_RUNS = 2000;
/** Upper limit for the slowdown of one run, so that a few faulty endpoints don't make their kind look slow. */
const MAX_RUN_SLOWDOWN = 3;

/**
 * Learns the slowdown of each kind of endpoint by label. The kind of an endpoint is its label with the most runs, since a kind is
 * shared by more endpoints than a rack.
 */
export class KindSpeeds {
  private readonly slowdownsByLabel = new Map<string, LabelSlowdown>();

  /** Records the slowdown of one run, by the baseline of its step, on an endpoint with these labels. */
  recordRunSlowdown(labels: readonly string[], slowdown: number): void {
    const limited = Math.min(MAX_RUN_SLOWDOWN, slowdown);
    for (const label of labels) {
      const entry = this.slowdownsByLabel.get(label) ?? { runCount: 0, slowdown: 1 };
      entry.runCount += 1;
      entry.slowdown += (limited - entry.slowdown) / Math.min(entry.runCount, AVERAGE_WINDOW_RUNS);
      this.slowdownsByLabel.set(label, entry);
    }
  }

  /** Returns the slowdown of endpoints with these labels; 1 while too few runs are known. */
  getSlowdown(labels: readonly string[]): number {
    let kind: LabelSlowdown | undefined;
    for (const label of labels) {
      const entry = this.slowdownsByLabel.get(label);
      if (entry !== undefined && entry.runCount > (kind?.runCount ?? 0)) {
        kind = entry;
      }
    }
    return kind === undefined || kind.runCount < MIN_RUN_COUNT ? 1 : kind.slowdown;
  }
}
