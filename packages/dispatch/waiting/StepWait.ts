import type { WaitCause } from './WaitCause';
import type { WaitTimes } from './WaitTimes';

/** Time that the tasks of one step have waited since its last placement, by cause. */
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

  /** `since` is the monotonic time at which the wait begins. */
  constructor(private since: number) {}

  /** Records why a round has placed no more tasks. The cause applies until the next round. */
  recordCause(cause: WaitCause, now: number): void {
    this.updateTimes(now);
    this.cause = cause;
  }

  /** Returns the time waited until `now`, in milliseconds by cause. */
  getTimes(now: number): WaitTimes {
    this.updateTimes(now);
    return { ...this.times };
  }

  private updateTimes(now: number): void {
    this.times[this.cause] += Math.max(0, now - this.since);
    this.since = Math.max(this.since, now);
  }
}
