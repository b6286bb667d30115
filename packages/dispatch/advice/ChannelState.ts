import { SmoothedTime } from '../../common/SmoothedTime';

/** Upper bound on the hedge delay, and its value before the first response. */
const MAX_HEDGE_DELAY_MS = 1200;
/** Lower bound on the hedge delay, since a hedge uses a second slot. */
const MIN_HEDGE_DELAY_MS = 80;
/** Half-life of the estimated delay after the latest response, so that a channel that was slow is tried again. */
const DELAY_HALF_LIFE_MS = 10_000;

/** State of one channel: its pending request, the delay of its responses beyond the service's time, and its quarantine. */
export class ChannelState {
  private pendingRequest: { readonly isLong: boolean } | undefined;
  private readonly delays = new SmoothedTime();
  private lastRespondedAt = 0;
  /** Monotonic time until which other channels are preferred, after a late or missing response. */
  private quarantinedUntil = -Infinity;

  isBusy(): boolean {
    return this.pendingRequest !== undefined;
  }

  hasShortRequest(): boolean {
    return this.pendingRequest?.isLong === false;
  }

  isQuarantined(now: number): boolean {
    return now < this.quarantinedUntil;
  }

  /** Returns by how much the next response is expected to exceed the service's time, in milliseconds. */
  estimateDelayMs(now: number): number {
    return (this.delays.getMeanMs() ?? 0) * 0.5 ** ((now - this.lastRespondedAt) / DELAY_HALF_LIFE_MS);
  }

  /**
   * Returns how long after the service's time a response counts as late, in milliseconds; `defaultMs` before the first response.
   */
  computeHedgeDelayMs(defaultMs = MAX_HEDGE_DELAY_MS): number {
    const limitMs = this.delays.getLimitMs();
    return limitMs === undefined
      ? defaultMs
      : Math.min(MAX_HEDGE_DELAY_MS, Math.max(MIN_HEDGE_DELAY_MS, limitMs));
  }

  recordRequest(isLong: boolean): void {
    this.pendingRequest = { isLong };
  }

  recordResponse(delayMs: number, now: number): void {
    this.pendingRequest = undefined;
    this.quarantinedUntil = -Infinity;
    this.lastRespondedAt = now;
    this.delays.recordTime(delayMs);
  }

  /** Quarantines the channel while its response is late; the response may still arrive. */
  recordLateResponse(quarantinedUntil: number): void {
    this.quarantinedUntil = quarantinedUntil;
  }

  /** Ends the quarantine, after failures that were not the channel's. */
  clearQuarantine(): void {
    this.quarantinedUntil = -Infinity;
  }

  /** Records that the pending request has ended without a response. */
  recordFailure(quarantinedUntil: number): void {
    this.pendingRequest = undefined;
    this.quarantinedUntil = quarantinedUntil;
  }
}
