import { SmoothedTime } from '../../common/SmoothedTime';

/** A command without a response counts as one whose response took this many times the time limit. */
const UNANSWERED_TIME_FACTOR = 2;
/** Bounds of the time limit. The upper one also applies until a response time is known. */
const MIN_TIMEOUT_MS = 120;
const MAX_TIMEOUT_MS = 500;

/** Adaptive time limit for responses to commands, estimated from earlier response times as TCP's retransmission timeout is. */
export class ResponseTimeout {
  private readonly smoothedResponseTime = new SmoothedTime();

  /** Records the time that a response took, in milliseconds. */
  recordResponseTime(responseMs: number): void {
    this.smoothedResponseTime.recordTime(responseMs);
  }

  /**
   * Records that no response came within a time, in milliseconds, so that the limit doesn't adapt to fast responses alone. Shorter waits than
   * the lower bound are ignored: such a connection was reset, and shows nothing of response times.
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
