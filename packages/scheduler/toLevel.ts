import type { Row } from '../table/Row';
import type { RowClass } from '../table/RowClass';
import { SCHEDULER } from './constants';
import type { SchedulerRequest } from './SchedulerRequest';

const LEVELS: Readonly<Record<RowClass, number>> = { service: 0, standing: 1, batch: 2 };
const URGENT_BATCH_LEVEL = 1;

/** The level of a row's next request: a lower one goes first. Batch rises as its slack runs out. */
export const toLevel = (row: Row, head: SchedulerRequest, now: number): number => {
  if (row.class !== 'batch') {
    return LEVELS[row.class];
  }
  const slackMs = head.deadlineAt - now - row.expectedMs;
  const isUrgent = slackMs < SCHEDULER.urgentSlackRuns * row.expectedMs;
  return isUrgent ? URGENT_BATCH_LEVEL : LEVELS.batch;
};
