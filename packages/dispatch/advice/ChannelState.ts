import { SmoothedTime } from '../../common/SmoothedTime';
import { ChannelTrust } from './ChannelTrust';

/** Upper bound on the hedge delay, and its default before the first response. */
const MAX_HEDGE_DELAY_MS = 1200;
/** Lower bound on the hedge delay, since a hedge uses a second slot. */
const MIN_HEDGE_DELAY_MS = 80;
/** Half-life of a channel's estimated response delay while it has no new response, so that a slow channel is tried again. */
const DELAY_HALF_LIFE_MS = 10_000;

/** State of one channel: its pending request, how far its responses exceed their expected response times, and its quarantine. */
export class ChannelState {
  /** The request that is under way on this channel; undefined while it is free. */
  private pendingRequest: { readonly isLong: boolean } | undefined;
  /** By how much responses exceeded their expected response times. */
  private readonly delays = new SmoothedTime();
  /** Monotonic time of the latest response. */
  private lastRespondedAt = 0;
  /** Ends with a late or missing response; without it, other channels carry the requests. */
  readonly trust = new ChannelTrust();

  /** Returns whether a request is pending. */
  isBusy(): boolean {
    return this.pendingRequest !== undefined;
  }

  /** Returns whether the pending request is a short one; false when there is none. */
  hasShortRequest(): boolean {
    return this.pendingRequest?.isLong === false;
  }

  /** Returns by how much the next response is expected to exceed its expected response time, in milliseconds; 0 before the first. */
  estimateDelayMs(now: number): number {
    return (this.delays.getMeanMs() ?? 0) * 0.5 ** ((now - this.lastRespondedAt) / DELAY_HALF_LIFE_MS);
  }

  /**
   * Returns how far a response may exceed the expected response time before it counts as late, in milliseconds, by the delays of earlier
   * responses and within fixed bounds; `defaultMs` before the first response.
   */
  computeHedgeDelayMs(defaultMs = MAX_HEDGE_DELAY_MS): number {
    const limitMs = this.delays.getLimitMs();
    return limitMs === undefined
      ? defaultMs
      : Math.min(MAX_HEDGE_DELAY_MS, Math.max(MIN_HEDGE_DELAY_MS, limitMs));
  }

  /** Records that a request has been sent over the channel. */
  recordRequest(isLong: boolean): void {
    this.pendingRequest = { isLong };
  }

  /** Ends the pending request, restores the trust, and records by how much the response exceeded its expected response time. */
  recordResponse(delayMs: number, now: number): void {
    this.pendingRequest = undefined;
    this.trust.recordResponse();
    this.lastRespondedAt = now;
    this.delays.recordTime(delayMs);
  }

  /** Ends the pending request, which had no response, and the trust. */
  recordFailure(now: number): void {
    this.pendingRequest = undefined;
    this.trust.recordFailure(now);
  }
}
