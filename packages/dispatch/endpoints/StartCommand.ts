import type { TaskName } from '../../jobs/TaskName';

/** Command to start one run of a task. */
export interface StartCommand {
  readonly task: TaskName;
  readonly run: number;
  /** Work to do, as the job's definition has it. */
  readonly spec: string;
  /** Checkpoint to continue from; empty to start from the beginning. */
  readonly checkpoint: string;
  /** Ticket of the advice service; empty when none is needed. */
  readonly ticket: string;
}
