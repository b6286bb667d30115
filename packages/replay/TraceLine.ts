import type { SchedulerEvent } from '../scheduler/SchedulerEvent';

/** One event of a trace. */
export interface TraceLine {
  /** Monotonic milliseconds. */
  readonly at: number;
  /** Which decision core it reaches, from 0. */
  readonly entry: number;
  readonly event: SchedulerEvent;
  /** For a request: how long its task runs once placed. Absent in a recording, which has the ends as events. */
  readonly runMs?: number;
  /** For a `workers` event: the tasks there are lost, and are to run again once their end is known. */
  readonly isLoss?: boolean;
}
