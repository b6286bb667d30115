/** Slowdown of the endpoints with one label. */
interface LabelSpeed {
  /** Number of runs recorded. */
  runs: number;
  /** Mean slowdown of the runs; exponentially weighted once there are more than `WINDOW_RUNS`. */
  slowdown: number;
}

/** Minimum number of runs from which a slowdown is used. */
const MIN_RUNS = 100;
/** Length of the moving average, in runs. */
const WINDOW_RUNS = 2000;
/** Upper limit for the slowdown of one run, so that a few faulty endpoints don't make their kind look slow. */
const MAX_SLOWDOWN = 3;

/**
 * Learns the slowdown of each kind of endpoint by label. The kind of an endpoint is its label with the most runs, since a kind is
 * shared by more endpoints than a rack.
 */
export class KindSpeeds {
  private readonly speeds = new Map<string, LabelSpeed>();

  /** Records the slowdown of one run, by the baseline of its step, on an endpoint with these labels. */
  recordRun(labels: readonly string[], slowdown: number): void {
    const limited = Math.min(MAX_SLOWDOWN, slowdown);
    for (const label of labels) {
      const speed = this.speeds.get(label) ?? { runs: 0, slowdown: 1 };
      speed.runs += 1;
      speed.slowdown += (limited - speed.slowdown) / Math.min(speed.runs, WINDOW_RUNS);
      this.speeds.set(label, speed);
    }
  }

  /** Returns the slowdown of endpoints with these labels; 1 while too few runs are known. */
  getSlowdown(labels: readonly string[]): number {
    let kind: LabelSpeed | undefined;
    for (const label of labels) {
      const speed = this.speeds.get(label);
      if (speed !== undefined && speed.runs > (kind?.runs ?? 0)) {
        kind = speed;
      }
    }
    return kind === undefined || kind.runs < MIN_RUNS ? 1 : kind.slowdown;
  }
}
