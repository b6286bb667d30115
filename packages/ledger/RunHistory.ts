import type { LedgerCause } from './LedgerCause';

/** History of one run of a task, as the leader logged it. Times are in milliseconds since 1970. */
export interface RunHistory {
  readonly task: string;
  readonly run: number;
  readonly placedAt: number;
  /** Milliseconds that the task waited before the placement, by cause. */
  readonly waits: Readonly<Partial<Record<LedgerCause, number>>>;
  endedAt: number | undefined;
  outcome: string;
  /** How the run ended as the endpoint reported it; empty without a report. */
  reportedEnd: string;
  /** Why the leader stopped the run; empty when it did not. */
  stopCause: string;
  /** Endpoint that ran it; empty when unknown. */
  endpoint: string;
  hall: string;
  /** Time from the placement until its record was durable. */
  recordMs: number;
  /** Time from then until the endpoint had responded to the start command. */
  startMs: number;
}
