import type { TaskCrash } from '../../jobs/TaskCrash';
import type { TaskRef } from './TaskRef';

/** The crash of an endpoint, put down to one task. */
export interface CrashRecord extends TaskRef {
  readonly crash: TaskCrash;
}
