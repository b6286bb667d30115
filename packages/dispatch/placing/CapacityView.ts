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

/** Share of a service's processor capacity that is reserved for its most urgent queue. */
const RESERVED_CPU_SHARE = 0.08;
/** Share of a mean endpoint above which a task counts as large. */
const LARGE_TASK_SHARE = 0.25;
/** Capacity is ample when this many times the step's tasks fit into it. */
const AMPLE_CAPACITY_FACTOR = 2;
/** Hexadecimal digits at the end of a job's id that determine its home hall. */
const HOME_HALL_ID_DIGITS = 6;

/** Eligible endpoints and free capacity for waiting steps. Caches its results for one round of placement. */
export class CapacityView {
  /** Schedulable endpoints by service and required label. */
  private readonly schedulableEndpoints = new Map<string, readonly EndpointState[]>();
  /** Number of schedulable endpoints in each hall, sorted by hall, by service and required label. */
  private readonly endpointCountsByHall = new Map<
    string,
    readonly (readonly [hall: string, count: number])[]
  >();
  /** Mean capacity of the schedulable endpoints by service and required label. */
  private readonly meanEndpointCapacities = new Map<string, TaskDemand>();
  /** Demands that fit on no endpoint, by service and required label. Free capacity only shrinks within a round. */
  private readonly unmetDemands = new Map<string, TaskDemand[]>();
  /** Most urgent priority seen so far, by service. */
  private readonly mostUrgentPriorities = new Map<ServiceName, number>();

  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly reservations: EndpointReservations,
  ) {}

  /** Records the priority of a queue that uses a service. */
  recordQueuePriority({ service, priority }: JobQueue): void {
    this.mostUrgentPriorities.set(
      service,
      Math.min(priority, this.mostUrgentPriorities.get(service) ?? Infinity),
    );
  }

  /** Returns whether no queue of a higher priority has used the same service so far. */
  isMostUrgentQueue({ service, priority }: JobQueue): boolean {
    return priority <= (this.mostUrgentPriorities.get(service) ?? priority);
  }

  /** Returns whether the step is a gang or has large tasks while little capacity is free on the endpoints that may run them. */
  isCapacityScarce(step: WaitingStep, eligible: readonly EndpointState[]): boolean {
    return this.isGangOrLarge(step) && !this.hasAmpleCapacity(step, eligible);
  }

  private isGangOrLarge({ job, shape }: WaitingStep): boolean {
    if (shape.isGang) {
      return true;
    }
    const capacity = this.computeMeanEndpointCapacity(job.definition.queue.service, shape.requiredLabel);
    const { cpuMillis, memoryMb, accelerators } = toReservedDemand(shape);
    return (
      cpuMillis > capacity.cpuMillis * LARGE_TASK_SHARE ||
      memoryMb > capacity.memoryMb * LARGE_TASK_SHARE ||
      accelerators > capacity.accelerators * LARGE_TASK_SHARE
    );
  }

  private hasAmpleCapacity(
    { job, repetition, step, shape, indexes }: WaitingStep,
    eligible: readonly EndpointState[],
  ): boolean {
    const advice = job.getAdvice(repetition, step);
    const ampleCount = indexes.length * AMPLE_CAPACITY_FACTOR;
    let count = 0;
    for (const endpoint of eligible) {
      count += advice.isRefused(endpoint.getProfile().incarnation)
        ? 0
        : this.countFittingTasks(endpoint.getFreeCapacity(), shape);
      if (count >= ampleCount) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many tasks of a step fit into the free capacity of one endpoint. */
  countFittingTasks(free: TaskDemand, shape: JobStep): number {
    const demand = toReservedDemand(shape);
    const toCount = (whole: number, part: number): number =>
      part === 0 ? Infinity : Math.max(0, Math.floor(whole / part));
    return Math.min(
      shape.maxPerEndpoint === 0 ? Infinity : shape.maxPerEndpoint,
      toCount(free.cpuMillis, demand.cpuMillis),
      toCount(free.memoryMb, demand.memoryMb),
      toCount(free.accelerators, demand.accelerators),
    );
  }

  /** Clears the results of the last round. */
  clearCache(): void {
    this.schedulableEndpoints.clear();
    this.endpointCountsByHall.clear();
    this.meanEndpointCapacities.clear();
    this.unmetDemands.clear();
  }

  /** Returns the schedulable endpoints with the step's service and label that aren't reserved for other steps. */
  listEligibleEndpoints(step: WaitingStep): readonly EndpointState[] {
    const { job, shape } = step;
    const schedulable = this.listSchedulableEndpoints(job.definition.queue.service, shape.requiredLabel);
    return this.reservations.isEmpty()
      ? schedulable
      : schedulable.filter(
          (endpoint) => !this.reservations.isReservedForOtherStep(step, endpoint.getProfile().incarnation),
        );
  }

  /** Returns whether one task of the step fits on any eligible endpoint. */
  hasCapacityForTask({ job, shape }: WaitingStep, eligible: readonly EndpointState[]): boolean {
    const demand = toReservedDemand(shape);
    const key = this.toCacheKey(job.definition.queue.service, shape.requiredLabel);
    const unmet = this.unmetDemands.get(key) ?? [];
    if (unmet.some((smaller) => resourceMath.isWithin(smaller, demand))) {
      return false;
    }
    if (eligible.some((endpoint) => endpoint.hasCapacityFor(demand))) {
      return true;
    }
    // With reservations, the eligible endpoints depend on the step, so the result is valid for this one only.
    if (this.reservations.isEmpty()) {
      this.unmetDemands.set(key, [...unmet, demand]);
    }
    return false;
  }

  /** Returns whether the endpoint runs as many tasks of the step as `maxPerEndpoint` allows. */
  hasMaxTasksOfStep({ job, repetition, step, shape }: WaitingStep, endpoint: EndpointState): boolean {
    if (shape.maxPerEndpoint === 0) {
      return false;
    }
    let count = 0;
    for (const run of endpoint.getRuns()) {
      const { address } = run;
      if (run.job === job.definition.id && address.repetition === repetition && address.step === step) {
        count += 1;
      }
    }
    return count >= shape.maxPerEndpoint;
  }

  /** Returns the free processor capacity beyond the reserve, in thousandths of a core; Infinity for the most urgent queue. */
  computeUnreservedCpuMillis(step: WaitingStep): number {
    const { queue } = step.job.definition;
    if (this.isMostUrgentQueue(queue)) {
      return Infinity;
    }
    let free = 0;
    let capacity = 0;
    for (const endpoint of this.listSchedulableEndpoints(queue.service, '')) {
      free += endpoint.getFreeCpuMillis();
      capacity += endpoint.getProfile().capacity.cpuMillis;
    }
    return free - capacity * RESERVED_CPU_SHARE;
  }

  /** Returns whether one task of the step fits without using the reserve. */
  hasUnreservedCpu(step: WaitingStep): boolean {
    const { shape } = step;
    return shape.isFiller || toReservedDemand(shape).cpuMillis <= this.computeUnreservedCpuMillis(step);
  }

  /**
   * Returns the preferred hall of a job; '' when no endpoint is schedulable. It is chosen by the job's id, in proportion to the
   * schedulable endpoints of the halls, and so is the same for every leader while these don't change.
   */
  chooseHomeHall({ job, shape }: WaitingStep): string {
    const { id, queue } = job.definition;
    const halls = this.countEndpointsByHall(queue.service, shape.requiredLabel);
    const total = halls.reduce((sum, [, count]) => sum + count, 0);
    let left = (parseInt(id.slice(-HOME_HALL_ID_DIGITS), 16) / 16 ** HOME_HALL_ID_DIGITS) * total;
    for (const [hall, count] of halls) {
      left -= count;
      if (left < 0) {
        return hall;
      }
    }
    return '';
  }

  private countEndpointsByHall(
    service: ServiceName,
    label: string,
  ): readonly (readonly [hall: string, count: number])[] {
    const key = this.toCacheKey(service, label);
    const known = this.endpointCountsByHall.get(key);
    if (known !== undefined) {
      return known;
    }
    const counts = new Map<string, number>();
    for (const endpoint of this.listSchedulableEndpoints(service, label)) {
      const { hall } = endpoint.getProfile();
      counts.set(hall, (counts.get(hall) ?? 0) + 1);
    }
    const sorted = [...counts].sort(([left], [right]) => (left < right ? -1 : 1));
    this.endpointCountsByHall.set(key, sorted);
    return sorted;
  }

  private computeMeanEndpointCapacity(service: ServiceName, label: string): TaskDemand {
    const key = this.toCacheKey(service, label);
    const known = this.meanEndpointCapacities.get(key);
    if (known !== undefined) {
      return known;
    }
    const schedulable = this.listSchedulableEndpoints(service, label);
    const sum = schedulable.reduce(
      (total, endpoint) => resourceMath.computeSum(total, endpoint.getProfile().capacity),
      resourceMath.ZERO,
    );
    const count = Math.max(1, schedulable.length);
    const mean = {
      cpuMillis: sum.cpuMillis / count,
      memoryMb: sum.memoryMb / count,
      accelerators: sum.accelerators / count,
    };
    this.meanEndpointCapacities.set(key, mean);
    return mean;
  }

  private listSchedulableEndpoints(service: ServiceName, label: string): readonly EndpointState[] {
    const key = this.toCacheKey(service, label);
    const known = this.schedulableEndpoints.get(key);
    if (known !== undefined) {
      return known;
    }
    const schedulable = [...this.endpoints.values()].filter((endpoint) => {
      const profile = endpoint.getProfile();
      const hasLabel = label === '' || profile.labels.includes(label);
      return profile.service === service && hasLabel && endpoint.isSchedulable();
    });
    this.schedulableEndpoints.set(key, schedulable);
    return schedulable;
  }

  private toCacheKey(service: ServiceName, label: string): string {
    return `${service} ${label}`;
  }
}
