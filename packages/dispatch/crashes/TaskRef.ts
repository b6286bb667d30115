import type { JobId } from '../../jobs/JobId';
import type { TaskAddress } from '../../jobs/TaskAddress';

/** Reference to a task, by its job and its place within the job. */
export interface TaskRef {
  readonly job: JobId;
  readonly address: TaskAddress;
}
