import { toId } from '../common/toId';
import type { JobId } from './JobId';
import type { TaskAddress } from './TaskAddress';
import type { TaskName } from './TaskName';

/** Returns the name of a task, by which endpoints identify it. */
export const toTaskName = (job: JobId, address: TaskAddress): TaskName =>
  toId<TaskName>(`${job}.${address.repetition}.${address.step}.${address.index}`);
