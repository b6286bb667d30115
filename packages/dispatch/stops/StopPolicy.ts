import type { LeaveInput } from './LeaveInput';
import type { SlowRunInput } from './SlowRunInput';
import type { MoveReason } from './MoveReason';
import type { RoomRule } from './RoomRule';

/** The rules of one way of choosing what is stopped. */
export interface StopPolicy {
  /** True when a run, or a gang, is to be stopped now since its endpoint leaves before it can be done there. */
  readonly isEvictionDue: (input: LeaveInput) => boolean;
  /** Whether a run would end sooner if it were stopped and started elsewhere, and why. */
  readonly findMoveReason: (input: SlowRunInput) => Exclude<MoveReason, 'endpointLeaves'> | undefined;
  readonly preemption: RoomRule;
  /** Gangs on endpoints that leave are stopped, and go on from the newest checkpoint of any member. */
  readonly isMovingGangs: boolean;
  /** Tasks without siblings are compared with the run times that the leader has learnt. */
  readonly isUsingRunTimes: boolean;
  /** Share of all runs that may be on the move at once for being slow. */
  readonly maxMovingShare: number;
  /** Endpoints that fail all they start take one run at a time. */
  readonly isQuarantining: boolean;
}
