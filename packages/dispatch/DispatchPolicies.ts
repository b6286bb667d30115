import type { AdvicePolicyName } from './advice/AdvicePolicyName';
import type { HallPolicyName } from './placing/HallPolicyName';
import type { SpeedPolicyName } from './placing/SpeedPolicyName';
import type { StopPolicyName } from './stops/StopPolicyName';
import type { PlacementOrder } from './waiting/PlacementOrder';

/** The leader's ways of deciding, each chosen from a table. */
export interface DispatchPolicies {
  /** In which order the leader places what waits. */
  readonly placementOrder: PlacementOrder;
  /** How the speed of endpoints counts when they are chosen. */
  readonly speedChoice: SpeedPolicyName;
  /** Over which halls the tasks of a job go. */
  readonly hallChoice: HallPolicyName;
  /** When turns at the advice service are taken. */
  readonly turnChoice: AdvicePolicyName;
  /** What is stopped for others, or moved. */
  readonly stopChoice: StopPolicyName;
}
