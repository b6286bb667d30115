import type { ProcessId } from '../common/ProcessId';
import { toId } from '../common/toId';

/** The process that started a task: task ids are `PROCESS/NAME`. */
export const toHolder = (task: string): ProcessId => toId<ProcessId>(task.split('/')[0] ?? task);
