/** Bounds retries to a share of first tries, so that an outage is not multiplied by its retries. */
export class RetryBudget {
  private tokens: number;

  constructor(
    /** Retries allowed per first try, for example 0.1. */
    private readonly ratio: number,
    /** Largest number of retries in one burst. */
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Records a first try, which earns a part of a retry. */
  recordTry(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.ratio);
  }

  /** Claims one retry; false when the budget is spent. */
  claimRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
