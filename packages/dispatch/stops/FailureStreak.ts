import type { RunOutcome } from '../../jobs/RunOutcome';

/** Number of consecutive failures from which the endpoint, and not the tasks, is considered at fault. */
const MIN_FAILURES = 2;
/** Time from the failure to the first probe; doubled with each further failure, up to the maximum. */
const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2000;

/** Consecutive failures of runs on one endpoint. */
export class FailureStreak {
  private length = 0;
  private lastFailedAt = -Infinity;

  /** Extends the streak by a failed run, and ends it at a completed one. Interrupted runs have no effect. */
  recordRunEnd(outcome: RunOutcome, now: number): void {
    if (outcome === 'done') {
      this.length = 0;
    } else if (outcome === 'failed') {
      this.length += 1;
      this.lastFailedAt = now;
    }
  }

  /** Returns whether the streak has reached `MIN_FAILURES`. */
  isFailing(): boolean {
    return this.length >= MIN_FAILURES;
  }

  /** Returns the monotonic time from which one run may probe whether a failing endpoint has recovered. */
  getProbeAt(): number {
    return this.lastFailedAt + Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (this.length - MIN_FAILURES));
  }

  /** Returns the monotonic time of the newest failure, also of an ended streak; -Infinity before the first. */
  getLastFailedAt(): number {
    return this.lastFailedAt;
  }
}
