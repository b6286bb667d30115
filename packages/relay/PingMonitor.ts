import type { Clock } from '../common/Clock';

interface PingMonitorOptions {
  readonly clock: Clock;
  readonly sendPing: (number: number) => void;
}

interface PendingPing {
  readonly number: number;
  readonly sentAt: number;
  /** Number of ticks since. Ticks of a blocked process don't add up, unlike time. */
  ticks: number;
}

/** Number of ticks without a response to a ping from which the other end counts as silent. */
const MAX_SILENT_TICKS = 6;

/** Sends pings over a connection, one at a time, and measures their round trips. */
export class PingMonitor {
  private newestPing = 0;
  private pendingPing: PendingPing | undefined;
  private roundTripMs: number | undefined;

  constructor(private readonly options: PingMonitorOptions) {}

  /** Sends a ping unless one is pending. */
  handleTick(): void {
    if (this.pendingPing !== undefined) {
      this.pendingPing.ticks += 1;
      return;
    }
    this.newestPing += 1;
    this.pendingPing = { number: this.newestPing, sentAt: this.options.clock.getNow(), ticks: 0 };
    this.options.sendPing(this.newestPing);
  }

  /** Handles the response to a ping. */
  handlePong(number: number): void {
    if (this.pendingPing?.number === number) {
      this.roundTripMs = this.options.clock.getNow() - this.pendingPing.sentAt;
      this.pendingPing = undefined;
    }
  }

  /** Returns whether the pending ping has had no response for too long. */
  isSilent(): boolean {
    return (this.pendingPing?.ticks ?? 0) >= MAX_SILENT_TICKS;
  }

  /** Returns how long the response to the last ping took, in milliseconds; undefined before the first one. */
  getRoundTripMs(): number | undefined {
    return this.roundTripMs;
  }
}
