import type { TurnChoice } from '../dispatch/advice/TurnChoice';
import type { HallChoice } from '../dispatch/placing/HallChoice';
import type { SpeedChoice } from '../dispatch/placing/SpeedChoice';
import type { StopChoice } from '../dispatch/stops/StopChoice';
import type { PlacementOrder } from '../dispatch/waiting/PlacementOrder';
import type { Door } from '../load/Door';
import type { ConfigurationSource } from './ConfigurationSource';
import type { JobWriting } from './JobWriting';

/** The ways of deciding of one entry process, each chosen from a table. All boxes of a deployment should have the same. */
export interface ServeWays {
  /** Who appends the records of jobs that this box takes in. */
  readonly jobWriting: JobWriting;
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
  /** Whether jobs are refused for load. */
  readonly door: Door;
  /** Where the box hears of new versions of the configuration. */
  readonly configurationSource: ConfigurationSource;
}
