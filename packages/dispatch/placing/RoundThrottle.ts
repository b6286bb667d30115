import type { Clock } from '../../common/Clock';

interface RoundThrottleOptions {
  readonly clock: Clock;
  /** Runs one round of placement. */
  readonly runRound: () => void;
}

/** Idle time after a round, as a multiple of its duration. It leaves the process time for heartbeats and calls. */
const IDLE_TIME_RATIO = 2;
/** Shorter delays are skipped. */
const MIN_ROUND_DELAY_MS = 2;

/**
 * Throttles rounds of placement: requests in one turn of the event loop, or in the idle time after a round, share one. With a
 * long backlog, rounds without idle time would starve the leader's heartbeats.
 */
export class RoundThrottle {
  private isRoundQueued = false;
  private idleUntil = -Infinity;

  constructor(private readonly options: RoundThrottleOptions) {}

  queueRound(): void {
    if (this.isRoundQueued) {
      return;
    }
    this.isRoundQueued = true;
    const delayMs = this.idleUntil - this.options.clock.getNow();
    if (delayMs < MIN_ROUND_DELAY_MS) {
      setImmediate(() => this.runRound());
    } else {
      setTimeout(() => this.runRound(), delayMs);
    }
  }

  private runRound(): void {
    const { clock, runRound } = this.options;
    this.isRoundQueued = false;
    const startedAt = clock.getNow();
    runRound();
    const endedAt = clock.getNow();
    this.idleUntil = endedAt + (endedAt - startedAt) * IDLE_TIME_RATIO;
  }
}
