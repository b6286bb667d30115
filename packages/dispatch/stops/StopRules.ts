import type { LeaveInput } from './LeaveInput';
import type { MoveInput } from './MoveInput';
import type { MoveReason } from './MoveReason';
import type { RoomRule } from './RoomRule';

/** The rules of one way of choosing what is stopped. */
export interface StopRules {
  /** True when a run, or a gang, is to be stopped now since its endpoint leaves before it can be done there. */
  readonly isCutShort: (input: LeaveInput) => boolean;
  /** Whether a run would end sooner if it were stopped and started elsewhere, and why. */
  readonly readMoveReason: (input: MoveInput) => Exclude<MoveReason, 'endpointLeaves'> | undefined;
  readonly room: RoomRule;
  /** Gangs on endpoints that leave are stopped, and go on from the newest checkpoint of any member. */
  readonly isMovingGangs: boolean;
  /** Tasks without siblings are compared with the run times that the leader has learnt. */
  readonly isUsingRunTimes: boolean;
  /** Share of all runs that may be on the move at once for being slow. */
  readonly movingShare: number;
  /** Endpoints that fail all they start take one run at a time. */
  readonly isClosing: boolean;
}
