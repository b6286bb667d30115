import { SmoothedTime } from '../../common/SmoothedTime';

/** An answer that did not come within the limit counts as one that took so many times as long, since a full link makes all answers late. */
const UNANSWERED_FACTOR = 2;
/** Bounds in milliseconds. The lower one is far above an answer within a region, the upper one holds until answers are known. */
const MIN_MS = 120;
const MAX_MS = 500;

/**
 * How long to wait for an endpoint's answer to an order, estimated from the answers that came, as TCP does for its
 * retransmissions. An order without an answer is cleared up by a stop and a look: the sooner, the less its task waits.
 */
export class ResponseTimeout {
  private readonly answers = new SmoothedTime();

  recordAnswer(tookMs: number): void {
    this.answers.recordTime(tookMs);
  }

  /**
   * No answer came in a time: without it the limit would follow the quick answers alone, and strike ever sooner. A connection that was reset at once
   * tells nothing of how long answers take.
   */
  recordTimeout(waitedMs: number): void {
    if (waitedMs >= MIN_MS) {
      this.recordAnswer(waitedMs * UNANSWERED_FACTOR);
    }
  }

  /** Time to wait, in milliseconds. */
  computeTimeoutMs(): number {
    const limitMs = this.answers.readLimitMs();
    return limitMs === undefined ? MAX_MS : Math.min(MAX_MS, Math.max(MIN_MS, limitMs));
  }
}
