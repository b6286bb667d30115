import type { LedgerSpan } from './LedgerSpan';
import type { RunHistory } from './RunHistory';
import type { WaitSample } from './WaitSample';

/** History of one job, collected from the logs of all boxes. Times are in milliseconds since 1970. */
export interface JobHistory {
  readonly job: string;
  readonly queue: string;
  /** Time at which the acceptance was logged, once the job was durable. */
  readonly acceptedAt: number;
  /** Milliseconds from the request until the job was durable. */
  readonly acceptMs: number;
  /** Time at which a leader first added the job; undefined without such a line. */
  addedAt: number | undefined;
  /** Time at which the last logged end of the job was recorded; undefined without a logged end. */
  endedAt: number | undefined;
  /** How the job ended; empty without a logged end. */
  ending: string;
  /** Runs by the key that `toRunKey` makes of task and run number. */
  readonly runs: Map<string, RunHistory>;
  /** Waits that leaders logged before they ended, in order of time. */
  readonly waitSamples: readonly WaitSample[];
  /** Times at which leaders took over, earliest first. */
  readonly takeOvers: readonly number[];
  /** Critical path that the leader logged because the job failed or ended late; undefined otherwise. */
  loggedPath: readonly LedgerSpan[] | undefined;
}
