import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { formatError } from '../common/formatError';
import { waitWithTimeout } from '../common/waitWithTimeout';

interface StopBudgetOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Milliseconds from the signal to stop until the process is killed. */
  readonly graceMs: number;
}

/** Time before the end of the grace period by which each phase of a stop ends, in milliseconds. The last one covers a busy processor. */
const PHASE_RESERVES_MS = { handover: 1500, callers: 1300, boxes: 1000, log: 900 } as const;
/** Time beyond its limit in which a phase ends by itself. */
const PHASE_OVERRUN_MS = 100;

type StopPhase = keyof typeof PHASE_RESERVES_MS;

/** Shares out the grace period of a planned stop to its phases. The time starts when it is created. */
export class StopBudget {
  private readonly startedAt: number;

  constructor(private readonly options: StopBudgetOptions) {
    this.startedAt = options.clock.getNow();
  }

  /** Returns the milliseconds since the stop began. */
  getElapsedMs(): number {
    return this.options.clock.getNow() - this.startedAt;
  }

  /**
   * Runs a phase with the time left for it. Resolves when it ends, or shortly after its time, with a log line if it took all of that. Never
   * rejects.
   */
  async runPhase(phase: StopPhase, work: (timeoutMs: number) => Promise<void>): Promise<void> {
    const beganMs = this.getElapsedMs();
    const timeoutMs = Math.max(0, this.options.graceMs - PHASE_RESERVES_MS[phase] - beganMs);
    const ended = this.runLogged(phase, work(timeoutMs)).then(() => true);
    const hasEnded = await waitWithTimeout(ended, timeoutMs + PHASE_OVERRUN_MS, false);
    const tookMs = this.getElapsedMs() - beganMs;
    if (!hasEnded || tookMs > timeoutMs) {
      this.options.logger.warn('Phase of the stop ran out of time.', {
        phase,
        hasEnded,
        tookMs: Math.round(tookMs),
        limitMs: Math.round(timeoutMs),
      });
    }
  }

  private async runLogged(phase: StopPhase, work: Promise<void>): Promise<void> {
    try {
      await work;
    } catch (thrown) {
      this.options.logger.error('Phase of the stop failed.', { phase, detail: formatError(thrown) });
    }
  }
}
