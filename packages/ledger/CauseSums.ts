import type { LedgerCause } from './LedgerCause';
import { ledgerCauses } from './ledgerCauses';
import type { LedgerSpan } from './LedgerSpan';

/** Sums of the time that jobs spent on their critical paths, by cause, in milliseconds. */
export class CauseSums {
  private readonly msByCause = new Map<LedgerCause, number>();
  private jobCount = 0;

  /** Adds the critical path of one job, and counts the job. */
  addPath(spans: readonly LedgerSpan[]): void {
    this.jobCount += 1;
    for (const { cause, from, to } of spans) {
      this.msByCause.set(cause, (this.msByCause.get(cause) ?? 0) + to - from);
    }
  }

  /** Returns the number of jobs whose critical path has been added. */
  countJobs(): number {
    return this.jobCount;
  }

  /** Returns the milliseconds that a cause took, as a mean over all added jobs; 0 without jobs. */
  getMeanMs(cause: LedgerCause): number {
    return this.jobCount === 0 ? 0 : (this.msByCause.get(cause) ?? 0) / this.jobCount;
  }

  /** Returns the mean duration of the added jobs' critical paths in milliseconds, all causes together; 0 without jobs. */
  getMeanTotalMs(): number {
    return ledgerCauses.reduce((total, cause) => total + this.getMeanMs(cause), 0);
  }
}
