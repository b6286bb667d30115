import type { TurnChoice } from './advice/TurnChoice';
import type { HallChoice } from './placing/HallChoice';
import type { SpeedChoice } from './placing/SpeedChoice';
import type { StopChoice } from './stops/StopChoice';
import type { PlacementOrder } from './waiting/PlacementOrder';

/** The leader's ways of deciding, each chosen from a table. */
export interface DispatchWays {
  /** In which order the leader places what waits. */
  readonly placementOrder: PlacementOrder;
  /** How the speed of endpoints counts when they are chosen. */
  readonly speedChoice: SpeedChoice;
  /** Over which halls the tasks of a job go. */
  readonly hallChoice: HallChoice;
  /** When turns at the advice service are taken. */
  readonly turnChoice: TurnChoice;
  /** What is stopped for others, or moved. */
  readonly stopChoice: StopChoice;
}
