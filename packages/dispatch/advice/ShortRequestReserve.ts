/** Time constant of the exponential average of the load. */
const TIME_CONSTANT_MS = 2000;
/** Number of standard deviations above the mean load that is reserved, for a Poisson distribution of requests. */
const RESERVED_DEVIATIONS = 2;
/** Maximum share of the channels that is reserved. */
const MAX_RESERVED_SHARE = 0.5;
/** Minimum share while the load is unknown, so that a backlog of long requests does not take all channels of a new leader. */
const INITIAL_RESERVED_SHARE = 0.25;

/** Computes how many channels to reserve for short requests, by the recent number of concurrent ones. */
export class ShortRequestReserve {
  /** Mean number of concurrent short requests, as of `loadAt`. */
  private meanConcurrency = 0;
  private lastUpdatedAt = 0;
  /** Monotonic time until which the load is not known well enough; undefined before the first call of `computeReserved`. */
  private warmUpUntil: number | undefined;

  /** Records a short request that has ended, with or without a response. */
  recordRequest(tookMs: number, now: number): void {
    this.meanConcurrency = this.computeMeanConcurrency(now) + tookMs / TIME_CONSTANT_MS;
    this.lastUpdatedAt = now;
  }

  /** Returns how many of some channels to reserve; 0 when there is only one. */
  computeReservedCount(channelCount: number, now: number): number {
    const load = this.computeMeanConcurrency(now);
    this.warmUpUntil ??= now + TIME_CONSTANT_MS;
    const minimum = now < this.warmUpUntil ? Math.ceil(channelCount * INITIAL_RESERVED_SHARE) : 1;
    const wanted = Math.max(minimum, Math.ceil(load + RESERVED_DEVIATIONS * Math.sqrt(load)));
    return channelCount < 2
      ? 0
      : Math.min(wanted, Math.max(1, Math.floor(channelCount * MAX_RESERVED_SHARE)));
  }

  private computeMeanConcurrency(now: number): number {
    return this.meanConcurrency * Math.exp(-Math.max(0, now - this.lastUpdatedAt) / TIME_CONSTANT_MS);
  }
}
