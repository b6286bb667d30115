import type { Clock } from '../../common/Clock';

interface RoundThrottleOptions {
  readonly clock: Clock;
  /** Runs one round of placement, if one is due. Returns whether it was. */
  readonly runSchedulingRound: () => boolean;
}

/** Idle time after a round, as a multiple of the duration of the round. */
const IDLE_TIME_RATIO = 2;
/** Lower bound on the idle time, so that short rounds don't follow each single message of a large fleet. */
const MIN_IDLE_MS = 8;
/** When less idle time than this is left, the round runs at once. */
const MIN_ROUND_DELAY_MS = 2;

/**
 * Throttles rounds of placement. Requests within one turn of the event loop, or in the idle time after a round, are combined into one
 * round. The idle time leaves the process time for heartbeats and calls, however long and frequent the rounds are.
 */
export class RoundThrottle {
  private isRoundQueued = false;
  private idleUntil = -Infinity;

  constructor(private readonly options: RoundThrottleOptions) {}

  /** Runs a round after the idle time of the last one, or in the next turn of the event loop. Does nothing if one is queued. */
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
    const { clock, runSchedulingRound } = this.options;
    this.isRoundQueued = false;
    const startedAt = clock.getNow();
    if (runSchedulingRound()) {
      const endedAt = clock.getNow();
      this.idleUntil = endedAt + Math.max(MIN_IDLE_MS, (endedAt - startedAt) * IDLE_TIME_RATIO);
    }
  }
}
