import type { LedgerCause } from './LedgerCause';

/** Wait of a step that a leader logged before the wait ended. */
export interface WaitSample {
  /** Milliseconds since 1970. */
  readonly at: number;
  /** Milliseconds waited so far, by cause. */
  readonly waits: Readonly<Partial<Record<LedgerCause, number>>>;
}
