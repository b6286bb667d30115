/** Limits retries to a fraction of first attempts, so that retries do not amplify an outage. */
export class RetryBudget {
  private tokens: number;

  constructor(
    /** Retries allowed per first attempt, for example 0.1. */
    private readonly ratio: number,
    /** Maximum number of retries in a burst. */
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Records a first attempt, which adds its fraction of a retry to the budget. */
  recordFirstAttempt(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.ratio);
  }

  /** Takes one retry from the budget; returns false when the budget is exhausted. */
  claimRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
