import type { EndpointState } from '../endpoints/EndpointState';
import type { ServiceName } from '../../jobs/ServiceName';
import type { WaitingStep } from '../waiting/WaitingStep';

/**
 * Not every step may use the room that is there, so that so many times the room has to be in demand ahead of a step before nothing of it is left.
 * In a backlog of hundreds of steps, questions of all of them would take every turn, and their tickets run out unused.
 */
const COVER_FACTOR = 2;
/** Steps that only take free room find more of it while their tickets hold: runs end all the time. */
const FREE_COVER_FACTOR = 5;

/** Whether steps that are placed before a step in a round will take the room on which its question would count. */
export class RoomAhead {
  /** Processors that the steps looked at so far in this round wait for, by service. */
  private readonly waiting = new Map<ServiceName, number>();
  /** The same, as it was when a step was looked at. */
  private ahead = 0;

  startRound(): void {
    this.waiting.clear();
  }

  /** Notes the next step in the order of placement. */
  recordStep({ job, shape }: WaitingStep, missing: number): void {
    const { service } = job.definition.queue;
    this.ahead = this.waiting.get(service) ?? 0;
    this.waiting.set(service, this.ahead + missing * shape.demand.cpuMillis);
  }

  /** True when the steps before the last one noted will take all that it could have. */
  isTaken({ job }: WaitingStep, eligible: readonly EndpointState[], canStop: boolean): boolean {
    if (this.ahead === 0) {
      return false;
    }
    const { priority } = job.definition.queue;
    let room = 0;
    for (const book of eligible) {
      room += book.getFreeCpuMillis();
      if (canStop) {
        for (const run of book.getRuns()) {
          room += run.priority > priority ? run.demand.cpuMillis : 0;
        }
      }
    }
    return this.ahead > room * (canStop ? COVER_FACTOR : FREE_COVER_FACTOR);
  }
}
