import type { LedgerCause } from './LedgerCause';

/** History of one run of a task, as the leader logged it. Times are in milliseconds since 1970. */
export interface RunHistory {
  readonly task: string;
  /** Run number, counted per task. */
  readonly run: number;
  readonly placedAt: number;
  /** Milliseconds that the task waited before this placement, by cause. */
  readonly waits: Readonly<Partial<Record<LedgerCause, number>>>;
  /** Time at which the end was logged; undefined without a logged end. */
  endedAt: number | undefined;
  /** Outcome that the leader logged with the end; empty without a logged end. */
  outcome: string;
  /** How the run ended by the endpoint's report; empty without a report. */
  reportedEnd: string;
  /** Why the leader stopped the run; empty when the leader did not stop it. */
  stopCause: string;
  /** Id of the endpoint that the run was placed on; empty when the log line has none. */
  endpoint: string;
  hall: string;
  /** Milliseconds from the placement until the record of the placement was durable. */
  recordMs: number;
  /** Milliseconds from the durable record until the endpoint had responded to the start command. */
  startMs: number;
}
