import type { TaskCrash } from '../../jobs/TaskCrash';

/** True when an endpoint has certainly ended under a task that had just begun there. */
export const isUnderSuspicion = (crashes: readonly TaskCrash[]): boolean =>
  crashes.some(({ blame }) => blame === 'sole' || blame === 'shared');
