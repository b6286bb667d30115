import type { Logger } from '../../common/Logger';

interface RoundWatchOptions {
  readonly logger: Logger;
  readonly readJobCount: () => number;
  readonly recordTime: (name: 'roundMs', valueMs: number) => void;
}

/** Rounds that hold the process up for longer are worth a line. */
const LONG_ROUND_MS = 10;
/** Most one such line in so long, with the number of rounds that it stands for. */
const LINE_MS = 1000;

/** Tells of rounds of placement that took long. */
export class SlowRoundLogger {
  private count = 0;
  private longestMs = 0;
  private toldAt = -Infinity;

  constructor(private readonly options: RoundWatchOptions) {}

  /** Notes how long the round took that began at `now`. */
  recordRound(tookMs: number, now: number): void {
    const { logger, readJobCount, recordTime } = this.options;
    recordTime('roundMs', tookMs);
    if (tookMs <= LONG_ROUND_MS) {
      return;
    }
    this.count += 1;
    this.longestMs = Math.max(this.longestMs, tookMs);
    if (now - this.toldAt < LINE_MS) {
      return;
    }
    const longestMs = Math.round(this.longestMs);
    logger.info('Rounds took long.', { rounds: this.count, longestMs, jobs: readJobCount() });
    this.count = 0;
    this.longestMs = 0;
    this.toldAt = now;
  }
}
