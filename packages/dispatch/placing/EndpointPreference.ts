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

/** Says which endpoints a step should rather have, for their speed and their hall. */
export class EndpointPreference {
  private wallMs = 0;

  constructor(private readonly options: EndpointPreferenceOptions) {}

  /** Begins a round of placement: objectives are compared with its time. */
  setWallTime(wallMs: number): void {
    this.wallMs = wallMs;
  }

  /**
   * Gives the cost for a step of the endpoints that it may have, lower is better. It is 0 for steps that run on: they have no end
   * that would come sooner, and are spread.
   */
  createCostFunction(
    step: WaitingStep,
    endpoints: readonly EndpointState[],
  ): (book: EndpointState) => number {
    if (step.shape.isLongRunning || step.shape.isFiller) {
      return () => 0;
    }
    const { room, speedChoice, hallChoice } = this.options;
    const readSpeedCost = speedPolicies[speedChoice](step, this.options, endpoints, this.wallMs);
    const homeHall = room.readHomeHall(step);
    return (book) => readSpeedCost(book) + hallPolicies[hallChoice](book.getProfile().hall === homeHall);
  }
}
