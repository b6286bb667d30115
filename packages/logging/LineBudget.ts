import type { LineClass } from './LineClass';

/** Capacity of the bucket, in seconds at the mean rate. */
const BURST_SECONDS = 4;
/** Share of the capacity that is reserved for lines of higher classes. */
const RESERVED_SHARES: Readonly<Record<LineClass, number>> = {
  error: -Infinity,
  vital: 0,
  notable: 0.15,
  story: 0.3,
  rest: 0.75,
};

/** Token bucket for lines, which classes of higher priority may empty further. */
export class LineBudget {
  private readonly tokenCapacity: number;
  private tokens: number;

  constructor(
    private readonly linesPerSecond: number,
    private filledAt: number,
  ) {
    this.tokenCapacity = linesPerSecond * BURST_SECONDS;
    this.tokens = this.tokenCapacity;
  }

  /**
   * Takes a token for a line of a class. Returns false when none is available to the class; never for errors, which may overdraw the
   * bucket.
   */
  takeToken(lineClass: LineClass, now: number): boolean {
    this.addTokens(now);
    if (this.tokens < Math.max(1, this.tokenCapacity * RESERVED_SHARES[lineClass]) && lineClass !== 'error') {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private addTokens(now: number): void {
    const added = ((now - this.filledAt) / 1000) * this.linesPerSecond;
    this.tokens = Math.min(this.tokenCapacity, this.tokens + added);
    this.filledAt = now;
  }
}
