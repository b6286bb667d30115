import type { LedgerCause } from './LedgerCause';

/** Part of a job's time that is attributed to one cause. */
export interface LedgerSpan {
  readonly cause: LedgerCause;
  /** Start in milliseconds since 1970. */
  readonly from: number;
  /** End in milliseconds since 1970. */
  readonly to: number;
  /** Display name of the run that the time belongs to, such as `TASK run 2`; empty for time outside of runs. */
  readonly run: string;
}
