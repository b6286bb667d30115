import type { Clock } from '../../common/Clock';

interface RoundPacerOptions {
  readonly clock: Clock;
  /** One round of placement. */
  readonly handleRound: () => void;
}

/** After a round, so many times its length passes before the next: rounds leave most of the process to heartbeats and calls. */
const REST_RATIO = 2;
/** Shorter rests are not worth a timer. */
const MIN_REST_MS = 2;

/**
 * Joins the wishes for a round of placement: all that come in one turn, and all that come while the process rests from the round
 * before, share one. A round takes longer the more work waits; without the rest, a backlog would keep a leader from its
 * heartbeats, and the one who replaced it too.
 */
export class RoundThrottle {
  private isQueued = false;
  private restsUntil = -Infinity;

  constructor(private readonly options: RoundPacerOptions) {}

  queueRound(): void {
    if (this.isQueued) {
      return;
    }
    this.isQueued = true;
    const restMs = this.restsUntil - this.options.clock.readNow();
    if (restMs < MIN_REST_MS) {
      setImmediate(() => this.applyRound());
    } else {
      setTimeout(() => this.applyRound(), restMs);
    }
  }

  private applyRound(): void {
    const { clock, handleRound } = this.options;
    this.isQueued = false;
    const startedAt = clock.readNow();
    handleRound();
    const endedAt = clock.readNow();
    this.restsUntil = endedAt + (endedAt - startedAt) * REST_RATIO;
  }
}
