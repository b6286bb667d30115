import type { WaitCause } from './WaitCause';
import type { WaitTimes } from './WaitTimes';

/** Time that the tasks of one step have waited since its last placement, by cause. */
export class StepWait {
  private currentCause: WaitCause = 'round';
  private readonly waitTimes: Record<WaitCause, number> = {
    round: 0,
    turn: 0,
    answer: 0,
    room: 0,
    limit: 0,
    pause: 0,
  };

  /** `since` is the monotonic time at which the wait begins. */
  constructor(private countedUntil: number) {}

  /** Records why a round has placed no more tasks. The cause applies until the next round. */
  recordCause(cause: WaitCause, now: number): void {
    this.updateWaitTimes(now);
    this.currentCause = cause;
  }

  /** Returns the time waited until `now`, in milliseconds by cause. */
  getWaitTimes(now: number): WaitTimes {
    this.updateWaitTimes(now);
    return { ...this.waitTimes };
  }

  private updateWaitTimes(now: number): void {
    this.waitTimes[this.currentCause] += Math.max(0, now - this.countedUntil);
    this.countedUntil = Math.max(this.countedUntil, now);
  }
}
