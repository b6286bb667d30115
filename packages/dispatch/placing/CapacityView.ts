import { toReservedDemand } from '../../jobs/toReservedDemand';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobQueue } from '../../jobs/JobQueue';
import type { JobStep } from '../../jobs/JobStep';
import type { ServiceName } from '../../jobs/ServiceName';
import type { TaskDemand } from '../../jobs/TaskDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointState } from '../endpoints/EndpointState';
import type { EndpointReservations } from './EndpointReservations';
import { isLongRunningRestart } from './isLongRunningRestart';
import { FreeCapacityCache } from './FreeCapacityCache';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Share of the processor capacity of a service that only its most urgent queue may use. */
const RESERVED_CPU_SHARE = 0.08;
/** A task that needs more than this share of any resource of a mean endpoint is large. */
const LARGE_TASK_SHARE = 0.25;
/** Free capacity is ample when this multiple of the waiting tasks of a step fits into it. */
const AMPLE_CAPACITY_FACTOR = 2;
/** Number of hexadecimal digits at the end of a job's id that determine its home hall. */
const HOME_HALL_ID_DIGITS = 6;

/**
 * Answers which endpoints may run a step and whether its tasks fit into their free capacity. Caches lists, counts and means of the
 * schedulable endpoints until `clearCache`.
 */
export class CapacityView {
  /** Schedulable endpoints by service and required label. */
  private readonly schedulableEndpoints = new Map<string, readonly EndpointState[]>();
  /** Pairs of a hall and the number of its schedulable endpoints, sorted by hall; by service and required label. */
  private readonly endpointCountsByHall = new Map<
    string,
    readonly (readonly [hall: string, count: number])[]
  >();
  /** Mean capacity of the schedulable endpoints by service and required label. */
  private readonly meanEndpointCapacities = new Map<string, TaskDemand>();
  /** Demands found to fit on no endpoint in this round, by service and required label. Free capacity only shrinks within a round. */
  private readonly unmetDemands = new Map<string, TaskDemand[]>();
  /** Eligible endpoints of the steps without a reservation, by service, label and priority, as of `eligibleVersion`. */
  private readonly eligibleEndpoints = new Map<string, readonly EndpointState[]>();
  /** Version of the reservations for which `eligibleEndpoints` is valid. */
  private eligibleVersion = 0;
  /** Positions of endpoints in a list of eligible ones. */
  private readonly positions = new Map<readonly EndpointState[], ReadonlyMap<EndpointIncarnation, number>>();
  /** What follows from the free capacity of the endpoints, until it changes. */
  private readonly freeCapacityCache = new FreeCapacityCache();
  /** Policies of the queues that have had jobs, by name, service and priority. Not cleared between rounds. */
  private readonly queuesWithJobs = new Map<string, JobQueue>();
  /** Lowest, which is the most urgent, priority of these queues, by service. */
  private readonly mostUrgentPriorities = new Map<ServiceName, number>();

  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly reservations: EndpointReservations,
  ) {}

  /** Records the policy of a queue that has a job. */
  recordQueue(queue: JobQueue): void {
    this.queuesWithJobs.set(`${queue.name} ${queue.service} ${queue.priority}`, queue);
    this.addQueuePriority(queue);
  }

  /** Replaces the recorded policies by those that `choosePolicy` returns for them. */
  updateQueues(choosePolicy: (queue: JobQueue) => JobQueue): void {
    const queues = [...this.queuesWithJobs.values()];
    this.queuesWithJobs.clear();
    this.mostUrgentPriorities.clear();
    queues.forEach((queue) => this.recordQueue(choosePolicy(queue)));
  }

  private addQueuePriority({ service, priority }: JobQueue): void {
    this.mostUrgentPriorities.set(
      service,
      Math.min(priority, this.mostUrgentPriorities.get(service) ?? Infinity),
    );
  }

  /** Returns whether no more urgent queue of the same service has had a job; also true when none has. */
  isMostUrgentQueue({ service, priority }: JobQueue): boolean {
    return priority <= (this.mostUrgentPriorities.get(service) ?? priority);
  }

  /** Returns whether a step is a gang or has large tasks, and the eligible endpoints have no ample free capacity for it. */
  isCapacityScarce(step: WaitingStep, eligible: readonly EndpointState[]): boolean {
    return this.isGangOrLarge(step) && !this.hasAmpleCapacity(step, eligible);
  }

  /** Returns whether a step is a gang, or its tasks are large compared to the mean of the endpoints that may run them. */
  private isGangOrLarge({ job, shape }: WaitingStep): boolean {
    if (shape.isGang) {
      return true;
    }
    const capacity = this.computeMeanEndpointCapacity(job.getQueue().service, shape.requiredLabel);
    const { cpuMillis, memoryMb, accelerators } = toReservedDemand(shape);
    return (
      cpuMillis > capacity.cpuMillis * LARGE_TASK_SHARE ||
      memoryMb > capacity.memoryMb * LARGE_TASK_SHARE ||
      accelerators > capacity.accelerators * LARGE_TASK_SHARE
    );
  }

  /** Returns whether `AMPLE_CAPACITY_FACTOR` times the waiting tasks fit on the endpoints without a refusal by the advice service. */
  private hasAmpleCapacity(
    { job, repetition, step, shape, indexes }: WaitingStep,
    eligible: readonly EndpointState[],
  ): boolean {
    const advice = job.getStepAdvice(repetition, step);
    const ampleCount = indexes.length * AMPLE_CAPACITY_FACTOR;
    const isAmpleWithRefused =
      this.freeCapacityCache.getFitCount(eligible, shape, (free) => this.countFittingTasks(free, shape)) >=
      ampleCount;
    if (!isAmpleWithRefused || !advice.hasRefusal()) {
      return isAmpleWithRefused;
    }
    let count = 0;
    for (const endpoint of eligible) {
      count += advice.isEndpointRefused(endpoint.getProfile().incarnation)
        ? 0
        : this.countFittingTasks(endpoint.getFreeCapacity(), shape);
      if (count >= ampleCount) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many tasks of a step fit into the free capacity of one endpoint, at most `maxPerEndpoint` unless that is 0. */
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

  /** Clears the cached results before a new round. */
  clearCache(): void {
    this.schedulableEndpoints.clear();
    this.endpointCountsByHall.clear();
    this.meanEndpointCapacities.clear();
    this.unmetDemands.clear();
    this.eligibleEndpoints.clear();
    this.positions.clear();
    this.freeCapacityCache.clear();
  }

  /** Clears what was cached from the free capacity of the endpoints. Has to be called after each change of it within a round. */
  clearFreeCapacityCache(): void {
    this.freeCapacityCache.clear();
  }

  /**
   * Returns the schedulable endpoints with the service and the required label of the step, without those that are reserved for another
   * step of the same or a higher priority.
   */
  listEligibleEndpoints(step: WaitingStep): readonly EndpointState[] {
    const { job, shape } = step;
    const schedulable = this.listSchedulableEndpoints(job.getQueue().service, shape.requiredLabel);
    if (this.reservations.isEmpty()) {
      return schedulable;
    }
    const list = (): readonly EndpointState[] =>
      schedulable.filter(
        (endpoint) => !this.reservations.isReservedForOtherStep(step, endpoint.getProfile().incarnation),
      );
    return this.reservations.hasReservationFor(step) ? list() : this.getOrListEligible(step, list);
  }

  /** Returns the cached eligible endpoints of the steps of one service, label and priority without a reservation; else lists them. */
  private getOrListEligible(
    { job, shape }: WaitingStep,
    list: () => readonly EndpointState[],
  ): readonly EndpointState[] {
    if (this.eligibleVersion !== this.reservations.getVersion()) {
      this.eligibleVersion = this.reservations.getVersion();
      this.eligibleEndpoints.clear();
    }
    const { service, priority } = job.getQueue();
    const key = `${priority} ${this.toCacheKey(service, shape.requiredLabel)}`;
    const known = this.eligibleEndpoints.get(key);
    if (known !== undefined) {
      return known;
    }
    const listed = list();
    this.eligibleEndpoints.set(key, listed);
    return listed;
  }

  /**
   * Returns those of the eligible endpoints that are in `incarnations` and, if `demand` is given, have free capacity for it; in the order
   * of `eligible`.
   */
  listEligibleAmong(
    eligible: readonly EndpointState[],
    incarnations: Iterable<EndpointIncarnation>,
    demand?: TaskDemand,
  ): readonly EndpointState[] {
    const positions = this.getPositions(eligible);
    const found: number[] = [];
    for (const incarnation of incarnations) {
      const position = positions.get(incarnation);
      if (position !== undefined && (demand === undefined || eligible[position]!.hasCapacityFor(demand))) {
        found.push(position);
      }
    }
    return found.sort((left, right) => left - right).map((position) => eligible[position]!);
  }

  private getPositions(eligible: readonly EndpointState[]): ReadonlyMap<EndpointIncarnation, number> {
    const known = this.positions.get(eligible);
    if (known !== undefined) {
      return known;
    }
    const positions = new Map(
      eligible.map((endpoint, position) => [endpoint.getProfile().incarnation, position]),
    );
    this.positions.set(eligible, positions);
    return positions;
  }

  /** Returns whether the reserved demand of one task of the step fits into the free capacity of any eligible endpoint. */
  hasCapacityForTask({ job, shape }: WaitingStep, eligible: readonly EndpointState[]): boolean {
    const demand = toReservedDemand(shape);
    const key = this.toCacheKey(job.getQueue().service, shape.requiredLabel);
    const unmet = this.unmetDemands.get(key) ?? [];
    if (unmet.some((smaller) => resourceMath.isWithin(smaller, demand))) {
      return false;
    }
    if (this.freeCapacityCache.hasCapacityFor(eligible, demand)) {
      return true;
    }
    // With reservations, the eligible endpoints differ from step to step, so the result isn't cached.
    if (this.reservations.isEmpty()) {
      this.unmetDemands.set(key, [...unmet, demand]);
    }
    return false;
  }

  /** Returns whether the endpoint has as many runs of the step as `maxPerEndpoint` allows; false when that is 0, for no limit. */
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

  /**
   * Returns the free processor capacity of the step's service less the reserve for its most urgent queue, in thousandths of a core;
   * negative when others already use the reserve, Infinity for a step of the most urgent queue.
   */
  computeUnreservedCpuMillis(step: WaitingStep): number {
    const queue = step.job.getQueue();
    if (this.isMostUrgentQueue(queue)) {
      return Infinity;
    }
    const { free, capacity } = this.freeCapacityCache.getCpuTotals(
      this.listSchedulableEndpoints(queue.service, ''),
    );
    return free - capacity * RESERVED_CPU_SHARE;
  }

  /**
   * Returns whether the free processor capacity outside the reserve suffices for one task of the step; always true for fillers and for
   * restarts of long-running tasks.
   */
  hasUnreservedCpu(step: WaitingStep): boolean {
    const { job, repetition, shape, indexes } = step;
    return (
      shape.isFiller ||
      toReservedDemand(shape).cpuMillis <= this.computeUnreservedCpuMillis(step) ||
      indexes.some((index) => {
        const task = job.progress.getTask({ repetition, step: step.step, index });
        return task !== undefined && isLongRunningRestart(shape, task);
      })
    );
  }

  /**
   * Returns the preferred hall for the tasks of a step; '' when no endpoint with its service and label is schedulable. It is chosen by
   * the job's id, in proportion to the schedulable endpoints of the halls, so that every leader chooses the same while these don't
   * change.
   */
  chooseHomeHall({ job, shape }: WaitingStep): string {
    const { id } = job.definition;
    const halls = this.countEndpointsByHall(job.getQueue().service, shape.requiredLabel);
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

  /** Returns the pairs of a hall and the number of its schedulable endpoints, sorted by hall. */
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

  /** Returns the mean capacity of the schedulable endpoints; zero when there are none. */
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

  /** Returns the schedulable endpoints of a service that have a label; an empty label matches all. */
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
