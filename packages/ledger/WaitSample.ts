import type { LedgerCause } from './LedgerCause';

/** Wait of a step that a leader logged before the wait ended. */
export interface WaitSample {
  /** Time at which the wait was logged, in milliseconds since 1970. */
  readonly at: number;
  /** Milliseconds that the step had waited at that time, by cause. */
  readonly waits: Readonly<Partial<Record<LedgerCause, number>>>;
}
