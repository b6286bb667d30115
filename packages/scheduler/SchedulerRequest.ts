import type { RequestId } from '../common/RequestId';
import type { RowName } from '../common/RowName';
import type { TeamName } from '../common/TeamName';

/** One request or task as the scheduler knows it. */
export interface SchedulerRequest {
  readonly id: RequestId;
  readonly row: RowName;
  readonly team: TeamName;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time by which it should have ended, in milliseconds. */
  readonly deadlineAt: number;
}
