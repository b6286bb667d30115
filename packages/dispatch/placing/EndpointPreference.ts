import type { EndpointState } from '../endpoints/EndpointState';
import type { HallPolicyName } from './HallPolicyName';
import { hallPolicies } from './hallPolicies';
import type { SpeedPolicyName } from './SpeedPolicyName';
import { speedPolicies } from './speedPolicies';
import type { SpeedSources } from './SpeedSources';
import type { WaitingStep } from '../waiting/WaitingStep';

interface EndpointPreferenceOptions extends SpeedSources {
  readonly speedChoice: SpeedPolicyName;
  readonly hallChoice: HallPolicyName;
}

/** Costs of endpoints for a step by their speed and their hall. */
export class EndpointPreference {
  private roundWallMs = 0;

  constructor(private readonly options: EndpointPreferenceOptions) {}

  /** Sets the wall clock time of the round, against which objectives are compared. */
  setRoundWallTime(wallMs: number): void {
    this.roundWallMs = wallMs;
  }

  /**
   * Returns the cost function of a step over the endpoints that may run it; lower is better. Long-running steps and fillers cost
   * the same everywhere, since a faster endpoint brings them no earlier end.
   */
  createCostFunction(
    step: WaitingStep,
    endpoints: readonly EndpointState[],
  ): (endpoint: EndpointState) => number {
    if (step.shape.isLongRunning || step.shape.isFiller) {
      return () => 0;
    }
    const { capacity, speedChoice, hallChoice } = this.options;
    const computeSpeedCost = speedPolicies[speedChoice](step, this.options, endpoints, this.roundWallMs);
    const homeHall = capacity.chooseHomeHall(step);
    return (endpoint) =>
      computeSpeedCost(endpoint) + hallPolicies[hallChoice](endpoint.getProfile().hall === homeHall);
  }
}
