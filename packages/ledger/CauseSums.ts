import type { LedgerCause } from './LedgerCause';
import { ledgerCauses } from './ledgerCauses';
import type { LedgerSpan } from './LedgerSpan';

/** Sums the time of several jobs by cause, in milliseconds. */
export class CauseSums {
  private readonly msByCause = new Map<LedgerCause, number>();
  private jobCount = 0;

  /** Adds the critical path of one job. */
  addPath(spans: readonly LedgerSpan[]): void {
    this.jobCount += 1;
    for (const { cause, from, to } of spans) {
      this.msByCause.set(cause, (this.msByCause.get(cause) ?? 0) + to - from);
    }
  }

  countJobs(): number {
    return this.jobCount;
  }

  /** Returns the mean milliseconds per job that a cause took; 0 when no job had it. */
  getMeanMs(cause: LedgerCause): number {
    return this.jobCount === 0 ? 0 : (this.msByCause.get(cause) ?? 0) / this.jobCount;
  }

  /** Returns the mean milliseconds per job over all causes. */
  getMeanTotalMs(): number {
    return ledgerCauses.reduce((total, cause) => total + this.getMeanMs(cause), 0);
  }
}
