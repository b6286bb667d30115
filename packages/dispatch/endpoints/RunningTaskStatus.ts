import type { TaskName } from '../../jobs/TaskName';

/** One task that an endpoint says it runs. */
export interface RunningTaskStatus {
  readonly task: TaskName;
  readonly run: number;
  readonly checkpoint: string;
  /** Share of the work done, 0 to 100. */
  readonly percent: number;
  /** For a serving task its tail latency in milliseconds, otherwise the processor time in use; 0 when not given. */
  readonly load: number;
}
