import type { WaitCause } from './WaitCause';
import type { WaitTimes } from './WaitTimes';

/** Time that the waiting tasks of one step have waited since its last placement, by cause. */
export class StepWait {
  private currentCause: WaitCause = 'round';
  private readonly waitTimes: Record<WaitCause, number> = {
    round: 0,
    turn: 0,
    answer: 0,
    room: 0,
    limit: 0,
    bound: 0,
    pause: 0,
  };

  /** `countedUntil` is the monotonic time up to which the wait is counted; at first, the time at which it begins. */
  constructor(private countedUntil: number) {}

  /** Records why the round at `now` left tasks waiting. The time up to `now` counts for the last cause, later time for this one. */
  recordCause(cause: WaitCause, now: number): void {
    this.updateWaitTimes(now);
    this.currentCause = cause;
  }

  /** Returns the time waited up to `now` by cause, in milliseconds. */
  getWaitTimes(now: number): WaitTimes {
    this.updateWaitTimes(now);
    return { ...this.waitTimes };
  }

  /** Adds the time since the last update to the current cause. */
  private updateWaitTimes(now: number): void {
    this.waitTimes[this.currentCause] += Math.max(0, now - this.countedUntil);
    this.countedUntil = Math.max(this.countedUntil, now);
  }
}
