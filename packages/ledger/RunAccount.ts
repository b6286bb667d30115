import type { LedgerCause } from './LedgerCause';

/** One run of a task, as the leader tells it. Times are in milliseconds since 1970. */
export interface RunAccount {
  readonly task: string;
  readonly run: number;
  readonly placedAt: number;
  /** Milliseconds that the task had waited before, by cause. */
  readonly waits: Readonly<Partial<Record<LedgerCause, number>>>;
  endedAt: number | undefined;
  outcome: string;
  /** The endpoint's own word of the end; empty where it gave none. */
  how: string;
  /** Why we stopped it; empty when we did not. */
  why: string;
  /** Where it ran; empty when that is not known. */
  endpoint: string;
  hall: string;
  /** From the placement until its record was durable. */
  recordMs: number;
  /** From then until the endpoint had answered. */
  startMs: number;
}
