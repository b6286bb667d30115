import { toReservedDemand } from '../../jobs/toReservedDemand';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobQueue } from '../../jobs/JobQueue';
import type { JobStep } from '../../jobs/JobStep';
import type { ServiceName } from '../../jobs/ServiceName';
import type { TaskDemand } from '../../jobs/TaskDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointState } from '../endpoints/EndpointState';
import type { EndpointReservations } from './EndpointReservations';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Share of a service's processors that only the most urgent queues seen there may take. */
const RESERVED_SHARE = 0.08;
/** A task that asks for so much of a usual endpoint finds room by chance only rarely once room is short. */
const LARGE_SHARE = 0.25;
/** Room is short for a step when what it might use holds fewer than so many times its tasks: others choose at the same time. */
const AMPLE_ROOM_FACTOR = 2;
/** Digits of a job's id that choose its hall. */
const ID_DIGITS = 6;

/** What the books say of room for a step. Changes no books; what it has worked out holds for one round of placement. */
export class CapacityView {
  /** Usable endpoints, by service and required label. */
  private readonly eligible = new Map<string, readonly EndpointState[]>();
  /** How many usable endpoints each hall has, by service and required label; halls by name. */
  private readonly hallCounts = new Map<string, readonly (readonly [hall: string, count: number])[]>();
  /** Mean capacity of the usable endpoints, by service and required label. */
  private readonly meanCapacity = new Map<string, TaskDemand>();
  /** Demands for which no endpoint had room, by service and required label. Within a round room only shrinks. */
  private readonly unmet = new Map<string, TaskDemand[]>();
  /** The most urgent priority of the jobs seen, by service. */
  private readonly mostUrgent = new Map<ServiceName, number>();

  constructor(
    private readonly books: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly reservations: EndpointReservations,
  ) {}

  /** Notes that a queue uses a service. */
  recordQueue({ service, priority }: JobQueue): void {
    this.mostUrgent.set(service, Math.min(priority, this.mostUrgent.get(service) ?? Infinity));
  }

  /** True when no more urgent queue has been seen that uses the same service. */
  isMostUrgent({ service, priority }: JobQueue): boolean {
    return priority <= (this.mostUrgent.get(service) ?? priority);
  }

  /**
   * True for steps that would find room by chance only rarely: gangs and tasks that take much of an endpoint, while there is little
   * room on endpoints that may run them.
   */
  isCapacityScarce(step: WaitingStep, eligible: readonly EndpointState[]): boolean {
    return this.isLarge(step) && !this.hasAmpleRoom(step, eligible);
  }

  private isLarge({ job, shape }: WaitingStep): boolean {
    if (shape.isGang) {
      return true;
    }
    const capacity = this.readMeanCapacity(job.definition.queue.service, shape.requiredLabel);
    const { cpuMillis, memoryMb, accelerators } = toReservedDemand(shape);
    return (
      cpuMillis > capacity.cpuMillis * LARGE_SHARE ||
      memoryMb > capacity.memoryMb * LARGE_SHARE ||
      accelerators > capacity.accelerators * LARGE_SHARE
    );
  }

  private hasAmpleRoom(
    { job, time, step, shape, indexes }: WaitingStep,
    eligible: readonly EndpointState[],
  ): boolean {
    const advice = job.getAdvice(time, step);
    const ample = indexes.length * AMPLE_ROOM_FACTOR;
    let count = 0;
    for (const book of eligible) {
      count += advice.isRefused(book.getProfile().incarnation)
        ? 0
        : this.countFittingTasks(book.getFreeCapacity(), shape);
      if (count >= ample) {
        return true;
      }
    }
    return false;
  }

  /** Tasks of a step that fit some room on one endpoint. */
  countFittingTasks(room: TaskDemand, shape: JobStep): number {
    const demand = toReservedDemand(shape);
    const toCount = (whole: number, part: number): number =>
      part === 0 ? Infinity : Math.max(0, Math.floor(whole / part));
    return Math.min(
      shape.maxPerEndpoint === 0 ? Infinity : shape.maxPerEndpoint,
      toCount(room.cpuMillis, demand.cpuMillis),
      toCount(room.memoryMb, demand.memoryMb),
      toCount(room.accelerators, demand.accelerators),
    );
  }

  /** Forgets what was worked out before. */
  clearCache(): void {
    this.eligible.clear();
    this.hallCounts.clear();
    this.meanCapacity.clear();
    this.unmet.clear();
  }

  /** Usable endpoints of the step's service with the label that it needs, but those kept for others. */
  listEligible(step: WaitingStep): readonly EndpointState[] {
    const { job, shape } = step;
    const usable = this.readUsable(job.definition.queue.service, shape.requiredLabel);
    return this.reservations.isEmpty()
      ? usable
      : usable.filter((book) => !this.reservations.isKeptFrom(step, book.getProfile().incarnation));
  }

  /** True when some endpoint has room for one task of the step. */
  hasAnyRoom({ job, shape }: WaitingStep, eligible: readonly EndpointState[]): boolean {
    const demand = toReservedDemand(shape);
    const key = this.toKey(job.definition.queue.service, shape.requiredLabel);
    const unmet = this.unmet.get(key) ?? [];
    if (unmet.some((smaller) => resourceMath.isWithin(smaller, demand))) {
      return false;
    }
    if (eligible.some((book) => book.hasCapacityFor(demand))) {
      return true;
    }
    // While room is kept for one step, what another finds says nothing of a third.
    if (this.reservations.isEmpty()) {
      this.unmet.set(key, [...unmet, demand]);
    }
    return false;
  }

  /** True when the endpoint holds as many tasks of the step as it may. */
  hasMaxTasks({ job, time, step, shape }: WaitingStep, book: EndpointState): boolean {
    if (shape.maxPerEndpoint === 0) {
      return false;
    }
    let count = 0;
    for (const run of book.getRuns()) {
      const { address } = run;
      if (run.job === job.definition.id && address.time === time && address.step === step) {
        count += 1;
      }
    }
    return count >= shape.maxPerEndpoint;
  }

  /** Processor time that this step may take before it touches what is kept for the most urgent. */
  readReserveLeft(step: WaitingStep): number {
    const { queue } = step.job.definition;
    if (this.isMostUrgent(queue)) {
      return Infinity;
    }
    let free = 0;
    let capacity = 0;
    for (const book of this.readUsable(queue.service, '')) {
      free += book.getFreeCpuMillis();
      capacity += book.getProfile().capacity.cpuMillis;
    }
    return free - capacity * RESERVED_SHARE;
  }

  /** True when one task of the step touches nothing of what is kept for the most urgent. */
  isWithinReserve(step: WaitingStep): boolean {
    const { shape } = step;
    return shape.isFiller || toReservedDemand(shape).cpuMillis <= this.readReserveLeft(step);
  }

  /**
   * The hall into which the tasks of a job go first: by the job's id, in proportion to the usable endpoints. It stays the same while
   * halls keep their sizes, for every leader; jobs go elsewhere once a hall is silent.
   */
  readHomeHall({ job, shape }: WaitingStep): string {
    const { id, queue } = job.definition;
    const halls = this.readHallCounts(queue.service, shape.requiredLabel);
    const total = halls.reduce((sum, [, count]) => sum + count, 0);
    let left = (parseInt(id.slice(-ID_DIGITS), 16) / 16 ** ID_DIGITS) * total;
    for (const [hall, count] of halls) {
      left -= count;
      if (left < 0) {
        return hall;
      }
    }
    return '';
  }

  private readHallCounts(
    service: ServiceName,
    label: string,
  ): readonly (readonly [hall: string, count: number])[] {
    const key = this.toKey(service, label);
    const known = this.hallCounts.get(key);
    if (known !== undefined) {
      return known;
    }
    const counts = new Map<string, number>();
    for (const book of this.readUsable(service, label)) {
      const { hall } = book.getProfile();
      counts.set(hall, (counts.get(hall) ?? 0) + 1);
    }
    const sorted = [...counts].sort(([left], [right]) => (left < right ? -1 : 1));
    this.hallCounts.set(key, sorted);
    return sorted;
  }

  private readMeanCapacity(service: ServiceName, label: string): TaskDemand {
    const key = this.toKey(service, label);
    const known = this.meanCapacity.get(key);
    if (known !== undefined) {
      return known;
    }
    const books = this.readUsable(service, label);
    const sum = books.reduce(
      (total, book) => resourceMath.toSum(total, book.getProfile().capacity),
      resourceMath.NOTHING,
    );
    const count = Math.max(1, books.length);
    const mean = {
      cpuMillis: sum.cpuMillis / count,
      memoryMb: sum.memoryMb / count,
      accelerators: sum.accelerators / count,
    };
    this.meanCapacity.set(key, mean);
    return mean;
  }

  private readUsable(service: ServiceName, label: string): readonly EndpointState[] {
    const key = this.toKey(service, label);
    const known = this.eligible.get(key);
    if (known !== undefined) {
      return known;
    }
    const books = [...this.books.values()].filter((book) => {
      const profile = book.getProfile();
      const hasLabel = label === '' || profile.labels.includes(label);
      return profile.service === service && hasLabel && book.isSchedulable();
    });
    this.eligible.set(key, books);
    return books;
  }

  private toKey(service: ServiceName, label: string): string {
    return `${service} ${label}`;
  }
}
