import type { Clock } from '../../common/Clock';

interface RoundThrottleOptions {
  readonly clock: Clock;
  /** Runs one round of placement. */
  readonly runSchedulingRound: () => void;
}

/** Idle time after a round, as a multiple of its duration. It leaves the process time for heartbeats and calls. */
const IDLE_RATIO = 2;
/** Shorter delays are skipped. */
const MIN_DELAY_MS = 2;

/**
 * Throttles rounds of placement: requests in one turn of the event loop, or in the idle time after a round, share one. With a
 * long backlog, rounds without idle time would starve the leader's heartbeats.
 */
export class RoundThrottle {
  private isQueued = false;
  private idleUntil = -Infinity;

  constructor(private readonly options: RoundThrottleOptions) {}

  queueRound(): void {
    if (this.isQueued) {
      return;
    }
    this.isQueued = true;
    const delayMs = this.idleUntil - this.options.clock.getNow();
    if (delayMs < MIN_DELAY_MS) {
      setImmediate(() => this.runRound());
    } else {
      setTimeout(() => this.runRound(), delayMs);
    }
  }

  private runRound(): void {
    const { clock, runSchedulingRound: handleRound } = this.options;
    this.isQueued = false;
    const startedAt = clock.getNow();
    handleRound();
    const endedAt = clock.getNow();
    this.idleUntil = endedAt + (endedAt - startedAt) * IDLE_RATIO;
  }
}
