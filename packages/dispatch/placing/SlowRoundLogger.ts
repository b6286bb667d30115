import type { Logger } from '../../common/Logger';

interface SlowRoundLoggerOptions {
  readonly logger: Logger;
  readonly countJobs: () => number;
  readonly recordTime: (name: 'roundMs', valueMs: number) => void;
}

/** Duration above which a round is logged. */
const SLOW_ROUND_MS = 10;
/** Minimum interval between two log lines. */
const MIN_LOG_INTERVAL_MS = 1000;

/**
 * Logs slow rounds of placement. There is at most one line each `MIN_LOG_INTERVAL_MS`, with the number and the longest of the slow rounds
 * since the last line.
 */
export class SlowRoundLogger {
  private slowRoundCount = 0;
  private longestRoundMs = 0;
  private lastLoggedAt = -Infinity;

  constructor(private readonly options: SlowRoundLoggerOptions) {}

  /** Records the duration of a round as a metric, and logs it if it was slow. `now` is the monotonic time at which it began. */
  recordRoundDuration(durationMs: number, now: number): void {
    const { logger, countJobs, recordTime } = this.options;
    recordTime('roundMs', durationMs);
    if (durationMs <= SLOW_ROUND_MS) {
      return;
    }
    this.slowRoundCount += 1;
    this.longestRoundMs = Math.max(this.longestRoundMs, durationMs);
    if (now - this.lastLoggedAt < MIN_LOG_INTERVAL_MS) {
      return;
    }
    const longestMs = Math.round(this.longestRoundMs);
    logger.info('Placement rounds were slow.', { rounds: this.slowRoundCount, longestMs, jobs: countJobs() });
    this.slowRoundCount = 0;
    this.longestRoundMs = 0;
    this.lastLoggedAt = now;
  }
}
