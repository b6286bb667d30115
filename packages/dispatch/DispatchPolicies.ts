import type { AdvicePolicyName } from './advice/AdvicePolicyName';
import type { HallPolicyName } from './placing/HallPolicyName';
import type { SpeedPolicyName } from './placing/SpeedPolicyName';
import type { StopPolicyName } from './stops/StopPolicyName';
import type { PlacementOrder } from './waiting/PlacementOrder';

/** The leader's scheduling policies, each by its name. */
export interface DispatchPolicies {
  /** Order in which waiting steps are placed. */
  readonly placementOrder: PlacementOrder;
  /** How the speed of an endpoint affects its ranking. */
  readonly speedChoice: SpeedPolicyName;
  /** How the tasks of a job are spread over halls. */
  readonly hallChoice: HallPolicyName;
  /** When advice is requested. */
  readonly turnChoice: AdvicePolicyName;
  /** Which runs are preempted or moved. */
  readonly stopChoice: StopPolicyName;
}
