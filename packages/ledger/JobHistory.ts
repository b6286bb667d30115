import type { LedgerSpan } from './LedgerSpan';
import type { RunHistory } from './RunHistory';
import type { WaitSample } from './WaitSample';

/** History of one job, collected from the logs of all boxes. Times are in milliseconds since 1970. */
export interface JobHistory {
  readonly job: string;
  readonly queue: string;
  /** When the job was durable. */
  readonly acceptedAt: number;
  /** Time from the request until the job was durable, in milliseconds. */
  readonly acceptMs: number;
  /** When a leader first added the job; undefined when no line says so. */
  addedAt: number | undefined;
  /** When the end of the job was recorded; undefined while it is open. */
  endedAt: number | undefined;
  ending: string;
  /** By task and run number. */
  readonly runs: Map<string, RunHistory>;
  /** Waits that leaders logged while they lasted, in order of time. */
  readonly waitSamples: readonly WaitSample[];
  /** When leaders took over, in order. */
  readonly takeOvers: readonly number[];
  /** Critical path that the leader logged because the job failed or ended late; undefined otherwise. */
  loggedPath: readonly LedgerSpan[] | undefined;
}
