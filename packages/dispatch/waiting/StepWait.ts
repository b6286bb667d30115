import type { WaitCause } from './WaitCause';
import type { WaitTimes } from './WaitTimes';

/** For how long tasks of one step have waited, by cause, since the last of its tasks was placed. */
export class StepWait {
  private cause: WaitCause = 'round';
  private readonly times: Record<WaitCause, number> = {
    round: 0,
    turn: 0,
    answer: 0,
    room: 0,
    limit: 0,
    pause: 0,
  };

  /** `since` is the monotonic time from which tasks could have been placed. */
  constructor(private since: number) {}

  /** Notes why a round has placed no more; it holds until the next one. */
  recordCause(cause: WaitCause, now: number): void {
    this.applyTime(now);
    this.cause = cause;
  }

  /** Milliseconds by cause until now. */
  readTimes(now: number): WaitTimes {
    this.applyTime(now);
    return { ...this.times };
  }

  private applyTime(now: number): void {
    this.times[this.cause] += Math.max(0, now - this.since);
    this.since = Math.max(this.since, now);
  }
}
