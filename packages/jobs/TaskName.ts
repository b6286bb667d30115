import type { Brand } from '../common/Brand';

/** Name of a task: `JOB.REPETITION.STEP.INDEX`, unique over all jobs. */
export type TaskName = Brand<string, 'TaskName'>;
