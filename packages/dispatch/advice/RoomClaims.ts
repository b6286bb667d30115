import { demandSums } from '../../jobs/demandSums';
import type { EndpointLife } from '../../jobs/EndpointLife';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { EndpointBook } from '../endpoints/EndpointBook';
import type { RoomView } from '../placing/RoomView';
import type { WaitingStep } from '../waiting/WaitingStep';

interface Claim {
  /** `JOB.TIME.STEP` for which it is asked. */
  readonly step: string;
  readonly priority: number;
  readonly room: TaskDemand;
}

const toScaled = (demand: TaskDemand, factor: number): TaskDemand => ({
  cpuMillis: demand.cpuMillis * factor,
  memoryMb: demand.memoryMb * factor,
  accelerators: demand.accelerators * factor,
});

/**
 * The free room that questions under way count on. A step that is less urgent is not asked about for it: when its answer came, the
 * room would be gone. It keeps nobody from starting there.
 */
export class RoomClaims {
  private readonly claims = new Map<EndpointLife, Claim[]>();

  constructor(private readonly room: RoomView) {}

  /** Claims the room that the missing tasks of a step will take of the endpoints named, each giving the same part of what is free. */
  recordQuestion(step: WaitingStep, name: string, named: readonly EndpointBook[], missing: number): void {
    const demand = this.room.toCountedDemand(step.shape);
    const fitCounts = named.map((book) => this.room.measureFitCount(book.readFree(), step.shape));
    const total = fitCounts.reduce((sum, count) => sum + count, 0);
    const part = total === 0 ? 0 : Math.min(1, missing / total);
    for (const [index, book] of named.entries()) {
      const count = Math.min(missing, fitCounts[index]!) * part;
      if (count > 0) {
        const { life } = book.readProfile();
        const { priority } = step.job.definition.queue;
        const claim = { step: name, priority, room: toScaled(demand, count) };
        this.claims.set(life, [...(this.claims.get(life) ?? []), claim]);
      }
    }
  }

  /** The question for a step has its answer, or will have none. */
  recordAnswer(step: string, named: readonly EndpointLife[]): void {
    for (const life of named) {
      const left = (this.claims.get(life) ?? []).filter((claim) => claim.step !== step);
      if (left.length > 0) {
        this.claims.set(life, left);
      } else {
        this.claims.delete(life);
      }
    }
  }

  /** Free room of an endpoint on which no question counts that is as urgent as `priority`. */
  readUnclaimed(book: EndpointBook, priority: number): TaskDemand {
    let free = book.readFree();
    for (const claim of this.claims.get(book.readProfile().life) ?? []) {
      if (claim.priority <= priority) {
        free = demandSums.toDifference(free, claim.room);
      }
    }
    return free;
  }
}
