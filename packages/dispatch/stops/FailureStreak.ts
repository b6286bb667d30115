import type { RunOutcome } from '../../jobs/RunOutcome';

/** Consecutive failures from which the endpoint, and not the task, is considered at fault. */
const MIN_FAILURES = 2;
/** Backoff before the first probe, doubled with each further failure. */
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2000;

/** Consecutive failures of runs on an endpoint. */
export class FailureStreak {
  private length = 0;
  private lastFailedAt = -Infinity;

  /** Records how a run ended. Interrupted runs don't count. */
  recordRunEnd(outcome: RunOutcome, now: number): void {
    if (outcome === 'done') {
      this.length = 0;
    } else if (outcome === 'failed') {
      this.length += 1;
      this.lastFailedAt = now;
    }
  }

  isFailing(): boolean {
    return this.length >= MIN_FAILURES;
  }

  /** Returns the monotonic time from which a single run may probe whether the endpoint has recovered. */
  getProbeAt(): number {
    return this.lastFailedAt + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (this.length - MIN_FAILURES));
  }

  /** Returns the monotonic time of the newest failure; -Infinity for none. */
  getLastFailedAt(): number {
    return this.lastFailedAt;
  }
}
