import type { WorkerId } from '../common/WorkerId';
import type { Demand } from '../table/Demand';
import type { SchedulerRequest } from './SchedulerRequest';

/** A request that has a place on a worker. */
export interface Task {
  readonly request: SchedulerRequest;
  readonly worker: WorkerId;
  /** The demand it was placed with; a later edit of the row does not change it. */
  readonly need: Demand;
  readonly startedAt: number;
  /** Set while a stop by checkpoint is under way. */
  isYielding: boolean;
}
