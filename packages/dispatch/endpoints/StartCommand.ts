import type { TaskName } from '../../jobs/TaskName';

/** An order to start one run of a task. */
export interface StartCommand {
  readonly task: TaskName;
  readonly run: number;
  readonly spec: string;
  /** Empty for a start from the beginning. */
  readonly checkpoint: string;
  /** Permission of the advice service; empty when none is needed. */
  readonly ticket: string;
}
