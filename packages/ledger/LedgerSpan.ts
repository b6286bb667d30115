import type { LedgerCause } from './LedgerCause';

/** A part of a job's time that one cause took. */
export interface LedgerSpan {
  readonly cause: LedgerCause;
  /** Milliseconds since 1970. */
  readonly from: number;
  readonly to: number;
  /** The run that it belongs to; empty outside runs. */
  readonly run: string;
}
