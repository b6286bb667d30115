import type { JobId } from '../../jobs/JobId';
import type { TaskAddress } from '../../jobs/TaskAddress';

/** A task that is charged with the end of an endpoint. */
export interface TaskRef {
  readonly job: JobId;
  readonly address: TaskAddress;
}
