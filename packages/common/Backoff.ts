import type { Random } from './Random';

interface BackoffOptions {
  /** Upper bound of the first delay. */
  readonly baseMs: number;
  /** Upper bound of all delays. */
  readonly maxMs: number;
  readonly random: Random;
}

/** Exponential backoff with full jitter, so that clients that failed together do not retry together. */
export class Backoff {
  private attempt = 0;

  constructor(private readonly options: BackoffOptions) {}

  /** Returns the next delay in milliseconds and counts the attempt. */
  computeNextDelay(): number {
    const bound = Math.min(this.options.maxMs, this.options.baseMs * 2 ** this.attempt);
    this.attempt = Math.min(this.attempt + 1, 30);
    return this.options.random() * bound;
  }

  /** Resets the delay to its base. */
  recordSuccess(): void {
    this.attempt = 0;
  }
}
