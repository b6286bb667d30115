import type { Clock } from './Clock';
import type { HybridTime } from './HybridTime';

/** Creates timestamps that sort after all earlier timestamps of this process and all received ones. */
export class HybridClock {
  private last: HybridTime = { ms: 0, count: 0 };

  constructor(private readonly clock: Clock) {}

  /** Creates the timestamp of a new local event. */
  createTimestamp(): HybridTime {
    const wall = Math.floor(this.clock.getWallTime());
    this.last =
      wall > this.last.ms ? { ms: wall, count: 0 } : { ms: this.last.ms, count: this.last.count + 1 };
    return this.last;
  }

  /** Advances the clock to a received timestamp, so that later local events sort after it. */
  applyTimestamp(received: HybridTime): void {
    const isLater =
      received.ms > this.last.ms || (received.ms === this.last.ms && received.count > this.last.count);
    if (isLater) {
      this.last = received;
    }
  }
}
