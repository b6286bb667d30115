import type { RunOutcome } from '../../jobs/RunOutcome';

/** One failure may be the task's own; so many in a row with nothing done between are the endpoint's. */
const MIN_FAILURES = 2;
/** Pause after that many, doubled with each one more: a fault of some seconds is found over soon. */
const PAUSE_MS = 250;
const MAX_PAUSE_MS = 2000;

/** Whether an endpoint fails all that it starts. */
export class FailureStreak {
  private failures = 0;
  private failedAt = -Infinity;

  /** Records how a run ended; one that was interrupted tells nothing. */
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

  /** Monotonic time from which a single run may show whether the endpoint works again. */
  readProbeAt(): number {
    return this.failedAt + Math.min(MAX_PAUSE_MS, PAUSE_MS * 2 ** (this.failures - MIN_FAILURES));
  }

  /** Monotonic time of the newest failure. */
  readFailedAt(): number {
    return this.failedAt;
  }
}
