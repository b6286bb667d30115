/** Delay of the first trial of a channel without a response, doubled with each further one up to the maximum. */
const FIRST_TRIAL_DELAY_MS = 250;
const MAX_TRIAL_DELAY_MS = 1000;

/**
 * Whether a channel may carry the only request of a step. A late or missing response ends the trust, and only a response restores it: a trial sends a
 * copy of a request that another channel carries, at growing intervals.
 */
export class ChannelTrust {
  /** Number of trials without a response in time; undefined while the channel is trusted. */
  private failureCount: number | undefined;
  /** Monotonic time from which a trial may be sent. */
  private trialAt = -Infinity;

  isTrusted(): boolean {
    return this.failureCount === undefined;
  }

  /** Returns whether the channel is not trusted and may be tried now. */
  isTrialDue(now: number): boolean {
    return !this.isTrusted() && now >= this.trialAt;
  }

  /** Restores the trust. */
  recordResponse(): void {
    this.failureCount = undefined;
  }

  /** Ends the trust, since a response is late or has not come. */
  recordFailure(now: number): void {
    const failureCount = this.failureCount ?? 0;
    this.trialAt = now + Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * 2 ** failureCount);
    this.failureCount = failureCount + 1;
  }

  /** Makes a trial due at once, when the service had failed and not the channel. */
  clearTrialDelay(): void {
    this.trialAt = -Infinity;
  }
}
