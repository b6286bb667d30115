import type { Clock } from './Clock';

/** A clock that moves only when told to, for replay and tests. */
export class VirtualClock implements Clock {
  private now = 0;

  readNow(): number {
    return this.now;
  }

  readWall(): number {
    return this.now;
  }

  /** Moves the clock to `time` in milliseconds; it never goes back. */
  applyTime(time: number): void {
    this.now = Math.max(this.now, time);
  }
}
