/** Time constant of the exponential average of the number of concurrent short requests. */
const MEAN_TIME_CONSTANT_MS = 2000;
/** Standard deviations above the mean number of concurrent short requests that are reserved, for a Poisson distribution. */
const RESERVED_DEVIATIONS = 2;
/** Maximum share of the channels that is reserved. */
const MAX_RESERVED_SHARE = 0.5;
/** Minimum share of the channels that a new leader reserves, so that a backlog of long requests does not take all of them. */
const INITIAL_RESERVED_SHARE = 0.25;

/** Computes how many channels to reserve for short requests, by the recent number of concurrent ones. */
export class ShortRequestReserve {
  /** Mean number of concurrent short requests, as of `lastUpdatedAt`. */
  private meanConcurrency = 0;
  /** Monotonic time of the latest recorded request. */
  private lastUpdatedAt = 0;
  /** Monotonic time until which `INITIAL_RESERVED_SHARE` applies; undefined before the first call of `computeReservedCount`. */
  private warmUpUntil: number | undefined;

  /** Records a short request that has ended, with or without a response, and took `tookMs` milliseconds. */
  recordRequest(tookMs: number, now: number): void {
    this.meanConcurrency = this.computeMeanConcurrency(now) + tookMs / MEAN_TIME_CONSTANT_MS;
    this.lastUpdatedAt = now;
  }

  /**
   * Returns how many of `channelCount` channels to reserve, at least 1 and at most `MAX_RESERVED_SHARE` of them; 0 when there is only one.
   * The first call begins the period in which `INITIAL_RESERVED_SHARE` is the minimum.
   */
  computeReservedCount(channelCount: number, now: number): number {
    const load = this.computeMeanConcurrency(now);
    this.warmUpUntil ??= now + MEAN_TIME_CONSTANT_MS;
    const minimum = now < this.warmUpUntil ? Math.ceil(channelCount * INITIAL_RESERVED_SHARE) : 1;
    const wanted = Math.max(minimum, Math.ceil(load + RESERVED_DEVIATIONS * Math.sqrt(load)));
    return channelCount < 2
      ? 0
      : Math.min(wanted, Math.max(1, Math.floor(channelCount * MAX_RESERVED_SHARE)));
  }

  /** Returns the mean number of concurrent short requests, decayed since the latest recorded one. */
  private computeMeanConcurrency(now: number): number {
    return this.meanConcurrency * Math.exp(-Math.max(0, now - this.lastUpdatedAt) / MEAN_TIME_CONSTANT_MS);
  }
}
