import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { TaskDemand } from '../../jobs/TaskDemand';

interface Claim {
  /** `JOB.TIME.STEP` for which it is asked. */
  readonly step: string;
  readonly priority: number;
  readonly room: TaskDemand;
}

/**
 * The room that questions under way count on. A step that is no more urgent is not asked about for it: when its answer came, the room
 * would be gone. It keeps nobody from starting there.
 */
export class RoomClaims {
  private readonly claims = new Map<EndpointIncarnation, Claim[]>();

  /** Records that a question for a step counts on room of an endpoint. */
  recordClaim(endpoint: EndpointIncarnation, claim: Claim): void {
    this.claims.set(endpoint, [...(this.claims.get(endpoint) ?? []), claim]);
  }

  /** The question for a step has its answer, or will have none. */
  recordAnswer(step: string, named: readonly EndpointIncarnation[]): void {
    for (const life of named) {
      const left = (this.claims.get(life) ?? []).filter((claim) => claim.step !== step);
      if (left.length > 0) {
        this.claims.set(life, left);
      } else {
        this.claims.delete(life);
      }
    }
  }

  /** Room of an endpoint on which questions count that are at least as urgent as `priority`. */
  readClaimed(endpoint: EndpointIncarnation, priority: number): TaskDemand {
    return (this.claims.get(endpoint) ?? [])
      .filter((claim) => claim.priority <= priority)
      .reduce((sum, { room }) => resourceMath.toSum(sum, room), resourceMath.NOTHING);
  }
}
