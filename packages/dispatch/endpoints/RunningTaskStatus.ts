import type { TaskName } from '../../jobs/TaskName';

/** Running task in the status of an endpoint, with its progress. */
export interface RunningTaskStatus {
  readonly task: TaskName;
  readonly run: number;
  /** Newest checkpoint of the run; empty when there is none. */
  readonly checkpoint: string;
  /** Completed share of the work, 0 to 100. */
  readonly percent: number;
  /** Tail latency of a serving task in milliseconds, or the processor time in use of any other; 0 when not reported. */
  readonly load: number;
}
