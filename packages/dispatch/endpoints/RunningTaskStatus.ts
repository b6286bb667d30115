import type { TaskName } from '../../jobs/TaskName';

/** A running task in the status of an endpoint. */
export interface RunningTaskStatus {
  readonly task: TaskName;
  readonly run: number;
  readonly checkpoint: string;
  /** Completed share of the work, 0 to 100. */
  readonly percent: number;
  /** Tail latency of a serving task in milliseconds, or the processor time in use of any other; 0 when not reported. */
  readonly load: number;
}
