import type { Clock } from './Clock';
import type { HybridTime } from './HybridTime';

/** The hybrid logical clock of one process. */
export class HybridClock {
  private last: HybridTime = { ms: 0, count: 0 };

  constructor(private readonly clock: Clock) {}

  /** Creates the stamp of a new local event. */
  createStamp(): HybridTime {
    const wall = Math.floor(this.clock.readWall());
    this.last =
      wall > this.last.ms ? { ms: wall, count: 0 } : { ms: this.last.ms, count: this.last.count + 1 };
    return this.last;
  }

  /** Applies a stamp that came with a message, so that later local events sort after it. */
  applyStamp(stamp: HybridTime): void {
    const isLater = stamp.ms > this.last.ms || (stamp.ms === this.last.ms && stamp.count > this.last.count);
    if (isLater) {
      this.last = stamp;
    }
  }
}
