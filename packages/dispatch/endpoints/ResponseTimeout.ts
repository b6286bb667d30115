import { SmoothedTime } from '../../common/SmoothedTime';

/** A command without a response counts as one whose response took this many times the time waited. */
const UNANSWERED_TIME_FACTOR = 2;
/** Lower bound of the time limit, far above the response time within a region. */
const MIN_TIMEOUT_MS = 120;
/** Upper bound of the time limit, which also applies until a response time is known. */
const MAX_TIMEOUT_MS = 500;

/** Adaptive time limit for responses to commands, estimated from earlier response times as TCP's retransmission timeout is. */
export class ResponseTimeout {
  private readonly smoothedResponseTime = new SmoothedTime();

  /** Records the time that a response took, in milliseconds. */
  recordResponseTime(responseMs: number): void {
    this.smoothedResponseTime.recordTime(responseMs);
  }

  /**
   * Records that no response came within a time, in milliseconds, as a longer response time: the limit rises. Ignores waits that are shorter than
   * the lower bound, since these connections were reset.
   */
  recordUnansweredTime(waitedMs: number): void {
    if (waitedMs >= MIN_TIMEOUT_MS) {
      this.recordResponseTime(waitedMs * UNANSWERED_TIME_FACTOR);
    }
  }

  /** Computes the time limit for the next command, in milliseconds. */
  computeTimeoutMs(): number {
    const limitMs = this.smoothedResponseTime.getLimitMs();
    return limitMs === undefined
      ? MAX_TIMEOUT_MS
      : Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, limitMs));
  }
}
