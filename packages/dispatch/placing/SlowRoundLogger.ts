import type { Logger } from '../../common/Logger';

interface SlowRoundLoggerOptions {
  readonly logger: Logger;
  readonly countJobs: () => number;
  readonly recordTime: (name: 'roundMs', valueMs: number) => void;
}

/** Duration above which a round is logged. */
const SLOW_ROUND_MS = 10;
/** Minimum interval between two lines. */
const LOG_INTERVAL_MS = 1000;

/** Logs slow rounds of placement, at most one line an interval with the number of slow rounds since the last line. */
export class SlowRoundLogger {
  private count = 0;
  private longestMs = 0;
  private loggedAt = -Infinity;

  constructor(private readonly options: SlowRoundLoggerOptions) {}

  /** Records the duration of the round that began at the monotonic time `now`. */
  recordRound(durationMs: number, now: number): void {
    const { logger, countJobs: readJobCount, recordTime } = this.options;
    recordTime('roundMs', durationMs);
    if (durationMs <= SLOW_ROUND_MS) {
      return;
    }
    this.count += 1;
    this.longestMs = Math.max(this.longestMs, durationMs);
    if (now - this.loggedAt < LOG_INTERVAL_MS) {
      return;
    }
    const longestMs = Math.round(this.longestMs);
    logger.info('Placement rounds were slow.', { rounds: this.count, longestMs, jobs: readJobCount() });
    this.count = 0;
    this.longestMs = 0;
    this.loggedAt = now;
  }
}
