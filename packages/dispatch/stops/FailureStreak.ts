import type { RunOutcome } from '../../jobs/RunOutcome';

/** Consecutive failures from which the endpoint, and not the task, is considered at fault. */
const MIN_FAILURES = 2;
/** Backoff before the first probe, doubled with each further failure. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2000;

/** Consecutive failures of runs on an endpoint. */
export class FailureStreak {
  private failures = 0;
  private failedAt = -Infinity;

  /** Records how a run ended. Interrupted runs don't count. */
  recordEnd(outcome: RunOutcome, now: number): void {
    if (outcome === 'done') {
      this.failures = 0;
    } else if (outcome === 'failed') {
      this.failures += 1;
      this.failedAt = now;
    }
  }

  isFailing(): boolean {
    return this.failures >= MIN_FAILURES;
  }

  /** Returns the monotonic time from which a single run may probe whether the endpoint has recovered. */
  getProbeAt(): number {
    return this.failedAt + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.failures - MIN_FAILURES));
  }

  /** Returns the monotonic time of the newest failure; -Infinity for none. */
  getFailedAt(): number {
    return this.failedAt;
  }
}
