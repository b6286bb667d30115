import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { TaskDemand } from '../../jobs/TaskDemand';

interface CapacityClaim {
  /** Name of the step that the request is for (see `toStepName`). */
  readonly stepName: string;
  /** Priority of the step's queue; lower values are more urgent. */
  readonly priority: number;
  readonly demand: TaskDemand;
}

/**
 * Capacity of endpoints that pending advice requests count on. Other requests treat the claims of steps at least as urgent as theirs as
 * occupied. Claims do not restrict starts.
 */
export class CapacityClaims {
  private readonly claims = new Map<EndpointIncarnation, CapacityClaim[]>();

  addClaim(endpoint: EndpointIncarnation, claim: CapacityClaim): void {
    this.claims.set(endpoint, [...(this.claims.get(endpoint) ?? []), claim]);
  }

  /** Removes all claims of a step on the candidates of its request, once the request has ended. */
  removeClaims(stepName: string, candidates: readonly EndpointIncarnation[]): void {
    for (const endpoint of candidates) {
      const left = (this.claims.get(endpoint) ?? []).filter((claim) => claim.stepName !== stepName);
      if (left.length > 0) {
        this.claims.set(endpoint, left);
      } else {
        this.claims.delete(endpoint);
      }
    }
  }

  /** Returns the sum of an endpoint's capacity claimed by requests at least as urgent as `priority`; lower values are more urgent. */
  computeClaimed(endpoint: EndpointIncarnation, priority: number): TaskDemand {
    return (this.claims.get(endpoint) ?? [])
      .filter((claim) => claim.priority <= priority)
      .reduce((sum, { demand }) => resourceMath.computeSum(sum, demand), resourceMath.ZERO);
  }
}
