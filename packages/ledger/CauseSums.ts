import type { LedgerCause } from './LedgerCause';
import { ledgerCauses } from './ledgerCauses';
import type { LedgerSpan } from './LedgerSpan';

/** Milliseconds by cause, over some jobs. */
export class CauseSums {
  private readonly sums = new Map<LedgerCause, number>();
  private jobs = 0;

  recordPath(spans: readonly LedgerSpan[]): void {
    this.jobs += 1;
    for (const { cause, from, to } of spans) {
      this.sums.set(cause, (this.sums.get(cause) ?? 0) + to - from);
    }
  }

  readJobCount(): number {
    return this.jobs;
  }

  /** Mean milliseconds a job by cause; 0 for causes that were not met. */
  readMean(cause: LedgerCause): number {
    return this.jobs === 0 ? 0 : (this.sums.get(cause) ?? 0) / this.jobs;
  }

  /** Mean milliseconds a job over all causes. */
  readMeanTotal(): number {
    return ledgerCauses.reduce((total, cause) => total + this.readMean(cause), 0);
  }
}
