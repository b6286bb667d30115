/** How long runs take on the endpoints of one label, compared with their siblings elsewhere. */
interface LabelSpeed {
  /** Runs compared. */
  count: number;
  /** Mean of the ratios; the newest run counts with one part in `count`, at least in `MEMORY_RUNS`. */
  ratio: number;
}

/** Fewer runs than this tell nothing: half a second's ends of 245 endpoints. */
const MIN_RUNS = 100;
/** So many of the newest runs count, so that a label's speed may change. */
const MEMORY_RUNS = 2000;
/** A single run counts at most so much: sick endpoints must not make a kind slow. */
const MAX_RATIO = 3;

/**
 * Learns which kinds of endpoints are slower than others, from the labels that endpoints show. An endpoint's kind is the label with
 * most runs: kinds are shared more widely than racks.
 */
export class KindSpeeds {
  private readonly speeds = new Map<string, LabelSpeed>();

  /** Takes in how much longer a run took than is usual for its step, on an endpoint with these labels. */
  recordRun(labels: readonly string[], ratio: number): void {
    const counted = Math.min(MAX_RATIO, ratio);
    for (const label of labels) {
      const speed = this.speeds.get(label) ?? { count: 0, ratio: 1 };
      speed.count += 1;
      speed.ratio += (counted - speed.ratio) / Math.min(speed.count, MEMORY_RUNS);
      this.speeds.set(label, speed);
    }
  }

  /** How much longer runs take on such endpoints than elsewhere; 1 while not known. */
  getSlowdown(labels: readonly string[]): number {
    let kind: LabelSpeed | undefined;
    for (const label of labels) {
      const speed = this.speeds.get(label);
      if (speed !== undefined && speed.count > (kind?.count ?? 0)) {
        kind = speed;
      }
    }
    return kind === undefined || kind.count < MIN_RUNS ? 1 : kind.ratio;
  }
}
