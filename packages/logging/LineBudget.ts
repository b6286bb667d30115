import type { LineClass } from './LineClass';

/** Lines of several seconds may come at once. */
const BURST_SECONDS = 4;
/** Part of the bucket that must be left over for a line of a class to be written: what graver lines have to themselves. */
const FLOORS: Readonly<Record<LineClass, number>> = {
  error: -Infinity,
  vital: 0,
  notable: 0.15,
  story: 0.3,
  rest: 0.75,
};

/** Room for lines: a token bucket from which graver lines may take more. */
export class LineBudget {
  private readonly capacity: number;
  private tokens: number;

  constructor(
    private readonly linesPerSecond: number,
    private filledAt: number,
  ) {
    this.capacity = linesPerSecond * BURST_SECONDS;
    this.tokens = this.capacity;
  }

  /** Takes room for a line of a class; false when there is none. */
  claim(lineClass: LineClass, now: number): boolean {
    this.applyTime(now);
    if (this.tokens < Math.max(1, this.capacity * FLOORS[lineClass]) && lineClass !== 'error') {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private applyTime(now: number): void {
    const gained = ((now - this.filledAt) / 1000) * this.linesPerSecond;
    this.tokens = Math.min(this.capacity, this.tokens + gained);
    this.filledAt = now;
  }
}
