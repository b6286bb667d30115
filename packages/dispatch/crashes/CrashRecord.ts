import type { TaskCrash } from '../../jobs/TaskCrash';
import type { TaskRef } from './TaskRef';

/** The end of an endpoint, charged to one task. */
export interface CrashRecord extends TaskRef {
  readonly crash: TaskCrash;
}
