import type { LedgerSpan } from './LedgerSpan';
import type { RunAccount } from './RunAccount';
import type { WaitSample } from './WaitSample';

/** History of one job, collected from the logs of all boxes. Times are in milliseconds since 1970. */
export interface JobAccount {
  readonly job: string;
  readonly queue: string;
  /** When the job was durable. */
  readonly acceptedAt: number;
  /** Time from the request until the job was durable, in milliseconds. */
  readonly acceptMs: number;
  /** When a leader first added the job; undefined when no line says so. */
  takenInAt: number | undefined;
  /** When the end of the job was recorded; undefined while it is open. */
  endedAt: number | undefined;
  ending: string;
  /** By task and run number. */
  readonly runs: Map<string, RunAccount>;
  /** Waits that leaders logged while they lasted, in order of time. */
  readonly notes: readonly WaitSample[];
  /** When leaders took over, in order. */
  readonly takeOvers: readonly number[];
  /** Critical path that the leader logged because the job failed or ended late; undefined otherwise. */
  toldPath: readonly LedgerSpan[] | undefined;
}
