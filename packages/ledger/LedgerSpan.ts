import type { LedgerCause } from './LedgerCause';

/** Part of a job's time that is attributed to one cause. */
export interface LedgerSpan {
  readonly cause: LedgerCause;
  /** Milliseconds since 1970. */
  readonly from: number;
  /** Milliseconds since 1970. */
  readonly to: number;
  /** Name of the run that it belongs to; empty outside of runs. */
  readonly run: string;
}
