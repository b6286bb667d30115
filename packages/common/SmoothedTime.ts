/** Coefficients of TCP's retransmission timer (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;

/** Exponentially smoothed mean of durations, and the limit above which a further duration is unusual. */
export class SmoothedTime {
  private meanMs: number | undefined;
  private deviationMs = 0;

  recordTime(durationMs: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = durationMs;
      this.deviationMs = durationMs / 2;
      return;
    }
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(this.meanMs - durationMs) - this.deviationMs);
    this.meanMs += MEAN_WEIGHT * (durationMs - this.meanMs);
  }

  /** Returns the exponentially smoothed mean in milliseconds; undefined before the first duration. */
  getMeanMs(): number | undefined {
    return this.meanMs;
  }

  /** Returns the mean plus a multiple of the deviation; undefined before the first duration. */
  getLimitMs(): number | undefined {
    return this.meanMs === undefined ? undefined : this.meanMs + DEVIATION_FACTOR * this.deviationMs;
  }
}
