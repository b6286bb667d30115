import type { NotRunReason } from './NotRunReason';

interface NotRunStatus {
  readonly status: number;
  readonly title: string;
}

/** HTTP status and problem title for each reason of a `not-run` response. */
export const notRunStatuses: Readonly<Record<NotRunReason, NotRunStatus>> = {
  unknownRow: { status: 404, title: 'No such workload row' },
  queueFull: { status: 429, title: 'The queue of the row is full' },
  teamQuota: { status: 429, title: 'The team is over its quota' },
  deadlineUnreachable: { status: 503, title: 'The deadline cannot be met' },
  deadlinePassed: { status: 503, title: 'The deadline ran out while waiting' },
  rowRemoved: { status: 410, title: 'The workload row was removed' },
  stopping: { status: 503, title: 'This entry box is stopping' },
  badRequest: { status: 400, title: 'The request is not understood' },
  bodyTooLarge: { status: 413, title: 'The body is over the limit' },
  claimUnavailable: { status: 503, title: 'The key cannot be claimed while the log does not answer' },
  callerLeft: { status: 499, title: 'The caller left before it ran' },
  overloaded: { status: 503, title: 'Too many requests at once' },
};
