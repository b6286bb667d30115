/** Weights of the newest time in the mean and the deviation, and the factor on the deviation: those of TCP's retransmission timer (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;

/** The smoothed mean and deviation of times, and the time beyond which a further one is unusual. */
export class SmoothedTime {
  private meanMs: number | undefined;
  private deviationMs = 0;

  recordTime(tookMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = tookMs;
      this.deviationMs = tookMs / 2;
      return;
    }
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(this.meanMs - tookMs) - this.deviationMs);
    this.meanMs += MEAN_WEIGHT * (tookMs - this.meanMs);
  }

  /** Milliseconds; undefined before the first time. */
  readMeanMs(): number | undefined {
    return this.meanMs;
  }

  /** Milliseconds; undefined before the first time. */
  readLimitMs(): number | undefined {
    return this.meanMs === undefined ? undefined : this.meanMs + DEVIATION_FACTOR * this.deviationMs;
  }
}
