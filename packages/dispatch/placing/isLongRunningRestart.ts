import type { JobStep } from '../../jobs/JobStep';
import type { TaskProgress } from '../../jobs/TaskProgress';

/** Returns whether a task belongs to a long-running step and has been placed before, so that its next run only takes back what it had. */
export const isLongRunningRestart = (
  { isLongRunning }: JobStep,
  { runNumber }: Pick<TaskProgress, 'runNumber'>,
): boolean => isLongRunning && runNumber > 0;
