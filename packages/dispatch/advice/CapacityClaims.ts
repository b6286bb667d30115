import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { TaskDemand } from '../../jobs/TaskDemand';

interface Claim {
  /** `JOB.TIME.STEP` of the step that the request is for. */
  readonly step: string;
  readonly priority: number;
  readonly demand: TaskDemand;
}

/**
 * Capacity that pending advice requests count on. Requests of steps that are not more urgent do not count on it too, since it is likely
 * to be taken before their response. Claims do not restrict starts.
 */
export class CapacityClaims {
  private readonly claims = new Map<EndpointIncarnation, Claim[]>();

  addClaim(endpoint: EndpointIncarnation, claim: Claim): void {
    this.claims.set(endpoint, [...(this.claims.get(endpoint) ?? []), claim]);
  }

  /** Removes the claims of a step's request, once it has ended. */
  removeClaims(step: string, candidates: readonly EndpointIncarnation[]): void {
    for (const endpoint of candidates) {
      const left = (this.claims.get(endpoint) ?? []).filter((claim) => claim.step !== step);
      if (left.length > 0) {
        this.claims.set(endpoint, left);
      } else {
        this.claims.delete(endpoint);
      }
    }
  }

  /** Returns the capacity of an endpoint claimed by requests at least as urgent as `priority`; lower values are more urgent. */
  computeClaimed(endpoint: EndpointIncarnation, priority: number): TaskDemand {
    return (this.claims.get(endpoint) ?? [])
      .filter((claim) => claim.priority <= priority)
      .reduce((sum, { demand }) => resourceMath.computeSum(sum, demand), resourceMath.ZERO);
  }
}
