import type { LedgerSpan } from './LedgerSpan';
import type { RunAccount } from './RunAccount';
import type { WaitNote } from './WaitNote';

/** One job, as the logs of all boxes tell it. Times are in milliseconds since 1970. */
export interface JobAccount {
  readonly job: string;
  readonly queue: string;
  /** When it was durable. */
  readonly acceptedAt: number;
  /** Time that this took. */
  readonly acceptMs: number;
  /** When the first leader had it; undefined when no line says so. */
  takenInAt: number | undefined;
  /** When its end was noted; undefined while it is open. */
  endedAt: number | undefined;
  ending: string;
  /** By task and run number. */
  readonly runs: Map<string, RunAccount>;
  /** What leaders told of its waits while they went on, in order of time. */
  readonly notes: readonly WaitNote[];
  /** When leaders took over, in order. */
  readonly takeOvers: readonly number[];
  /** Where its time went by its leader's one line about a job that ended late; undefined where there is none. */
  toldPath: readonly LedgerSpan[] | undefined;
}
