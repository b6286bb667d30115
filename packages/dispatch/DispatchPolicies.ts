import type { AdvicePolicyName } from './advice/AdvicePolicyName';
import type { HallPolicyName } from './placing/HallPolicyName';
import type { SpeedPolicyName } from './placing/SpeedPolicyName';
import type { StopPolicyName } from './stops/StopPolicyName';
import type { PlacementOrder } from './waiting/PlacementOrder';

/** The scheduling policies that a leader uses, each given by the policy's name. */
export interface DispatchPolicies {
  /** Name of the order in which waiting steps are placed. */
  readonly placementOrder: PlacementOrder;
  /** Name of the policy by which the speed of endpoints affects their ranking at a placement. */
  readonly speedChoice: SpeedPolicyName;
  /** Name of the policy by which the tasks of a step are spread over halls. */
  readonly hallChoice: HallPolicyName;
  /** Name of the policy by which advice is requested: when, for which candidates and over which box. */
  readonly turnChoice: AdvicePolicyName;
  /** Name of the policy by which runs are preempted or moved, and endpoints quarantined. */
  readonly stopChoice: StopPolicyName;
}
