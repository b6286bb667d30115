import type { TaskCrash } from '../../jobs/TaskCrash';
import type { TaskRef } from './TaskRef';

/** Crash of an endpoint, put down to one task with a degree of blame. */
export interface CrashRecord extends TaskRef {
  readonly crash: TaskCrash;
}
