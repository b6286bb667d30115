import type { EndpointState } from '../endpoints/EndpointState';
import type { HallPolicyName } from './HallPolicyName';
import { hallPolicies } from './hallPolicies';
import type { SpeedPolicyName } from './SpeedPolicyName';
import { speedPolicies } from './speedPolicies';
import type { SpeedSources } from './SpeedSources';
import type { WaitingStep } from '../waiting/WaitingStep';

interface EndpointPreferenceOptions extends SpeedSources {
  readonly speedPolicy: SpeedPolicyName;
  readonly hallPolicy: HallPolicyName;
}

/** Computes costs of endpoints for a step from their speed and their hall, by the configured policies. */
export class EndpointPreference {
  private roundWallMs = 0;

  constructor(private readonly options: EndpointPreferenceOptions) {}

  /** Sets the wall clock time of the round, which the speed policies compare with objectives. */
  setRoundWallTime(wallMs: number): void {
    this.roundWallMs = wallMs;
  }

  /**
   * Returns a function that gives the cost of an endpoint for the tasks of a step; lower is better. `endpoints` are those that may run
   * them. For long-running steps and fillers every endpoint costs 0, since a faster one brings them no earlier end.
   */
  createCostFunction(
    step: WaitingStep,
    endpoints: readonly EndpointState[],
  ): (endpoint: EndpointState) => number {
    if (step.shape.isLongRunning || step.shape.isFiller) {
      return () => 0;
    }
    const { capacityView, speedPolicy, hallPolicy } = this.options;
    const computeSpeedCost = speedPolicies[speedPolicy](step, this.options, endpoints, this.roundWallMs);
    const homeHall = capacityView.chooseHomeHall(step);
    return (endpoint) =>
      computeSpeedCost(endpoint) + hallPolicies[hallPolicy](endpoint.getProfile().hall === homeHall);
  }
}
