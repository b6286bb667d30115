import type { Random } from './Random';

interface BackoffOptions {
  /** First delay bound in milliseconds. */
  readonly baseMs: number;
  /** Largest delay bound in milliseconds. */
  readonly maxMs: number;
  readonly random: Random;
}

/** Exponential backoff with full jitter, so that processes that failed together do not return together. */
export class Backoff {
  private attempt = 0;

  constructor(private readonly options: BackoffOptions) {}

  /** Chooses the next delay in milliseconds and remembers the attempt. */
  chooseDelay(): number {
    const bound = Math.min(this.options.maxMs, this.options.baseMs * 2 ** this.attempt);
    this.attempt = Math.min(this.attempt + 1, 30);
    return this.options.random() * bound;
  }

  /** Records a success: the next failure starts from the base again. */
  recordSuccess(): void {
    this.attempt = 0;
  }
}
