import { toId } from '../common/toId';
import type { JobId } from './JobId';
import type { TaskAddress } from './TaskAddress';
import type { TaskName } from './TaskName';

/** Formats the name under which endpoints know a task. */
export const toTaskName = (job: JobId, address: TaskAddress): TaskName =>
  toId<TaskName>(`${job}.${address.time}.${address.step}.${address.index}`);
