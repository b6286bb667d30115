import type { LedgerCause } from './LedgerCause';

/** What a leader told of a step that waits. */
export interface WaitNote {
  /** Milliseconds since 1970. */
  readonly at: number;
  /** Milliseconds that it had waited by then, by cause. */
  readonly waits: Readonly<Partial<Record<LedgerCause, number>>>;
}
