/** Learnt slowdown of the endpoints that have one label. */
interface LabelSlowdown {
  runCount: number;
  /** Mean slowdown of the recorded runs; a moving average once there are more than `AVERAGE_WINDOW_RUNS`. */
  slowdown: number;
}

/** Number of runs from which the slowdown of a label is used. */
const MIN_RUN_COUNT = 100;
/** Window of the moving average, in runs. */
const AVERAGE_WINDOW_RUNS = 2000;
/** Higher slowdowns of single runs are recorded as this, so that a few faulty endpoints don't make their kind look slow. */
const MAX_RUN_SLOWDOWN = 3;

/**
 * Learns how many times longer runs take than usual on endpoints with each label. Of an endpoint's labels, the one with the most recorded
 * runs counts, which names its kind of machine: more endpoints share a kind than a rack.
 */
export class LabelSlowdowns {
  private readonly slowdownsByLabel = new Map<string, LabelSlowdown>();

  /** Adds the slowdown of one run, at most `MAX_RUN_SLOWDOWN`, to the means of all labels of its endpoint. */
  recordRunSlowdown(labels: readonly string[], slowdown: number): void {
    const limited = Math.min(MAX_RUN_SLOWDOWN, slowdown);
    for (const label of labels) {
      const entry = this.slowdownsByLabel.get(label) ?? { runCount: 0, slowdown: 1 };
      entry.runCount += 1;
      entry.slowdown += (limited - entry.slowdown) / Math.min(entry.runCount, AVERAGE_WINDOW_RUNS);
      this.slowdownsByLabel.set(label, entry);
    }
  }

  /** Returns the mean slowdown of the label with the most runs; 1 while that label has fewer than `MIN_RUN_COUNT`, or without labels. */
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
