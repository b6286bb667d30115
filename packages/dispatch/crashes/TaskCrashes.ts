import type { TaskProgress } from '../../jobs/TaskProgress';

/** Crashes of endpoints that are put down to one task. */
export type TaskCrashes = Pick<TaskProgress, 'crashes' | 'unconfirmedCrashes'>;
