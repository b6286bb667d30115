import TinyQueue from 'tinyqueue';
import { toReservedDemand } from '../../jobs/toReservedDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { JobQueue } from '../../jobs/JobQueue';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { StepAdvice } from './StepAdvice';
import type { AdviceStats } from './AdviceStats';
import type { CandidateSelector } from './CandidateSelector';
import type { EndpointState } from '../endpoints/EndpointState';
import type { Preemptor } from '../placing/Preemptor';
import type { CapacityView } from '../placing/CapacityView';
import type { EndpointPreference } from '../placing/EndpointPreference';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Number of task places expected to be allowed for each missing task; above 1 since other steps take some before the response. */
const PLACES_PER_TASK = 2;
/** Minimum number of candidates, if there are as many, since the fixed cost of a request exceeds their cost. */
const MIN_REQUEST_CANDIDATES = 5;

/** Upper bound on the number of candidates that make it unlikely that all are refused. */
const MAX_MIN_CANDIDATES = 30;

/** An endpoint, and what it is ranked by. */
interface RankedCandidate {
  readonly endpoint: EndpointState;
  /** Breaks ties. */
  readonly position: number;
  readonly cost: number;
  /** Number of pending requests of all steps that have the endpoint as a candidate. */
  readonly pendingRequests: number;
  readonly freeCpuMillis: number;
}

const compareCandidates = (left: RankedCandidate, right: RankedCandidate): number =>
  left.cost - right.cost ||
  left.pendingRequests - right.pendingRequests ||
  right.freeCpuMillis - left.freeCpuMillis ||
  left.position - right.position;

const computeSum = (counts: readonly number[]): number => counts.reduce((sum, count) => sum + count, 0);

/**
 * Returns the number of candidates up to which each one shortens the expected time until an endpoint is allowed: it lowers the chance of
 * another request, of which the fixed time is saved, by more than it adds.
 */
const computeMinCandidates = (
  { decisionMs, perEndpointMs }: NonNullable<JobQueue['advice']>,
  allowedShare: number,
): number => {
  let count = 0;
  let refusedChance = 1;
  while (count < MAX_MIN_CANDIDATES && refusedChance * allowedShare * decisionMs > perEndpointMs) {
    refusedChance *= 1 - allowedShare;
    count += 1;
  }
  return count;
};

/**
 * Selects candidates whenever tickets are missing: endpoints with free capacity, or all large enough ones if capacity is scarce. Selects
 * none for a step that would use the reserve of the most urgent queue, unless capacity is scarce.
 */
export class EagerCandidateSelector implements CandidateSelector {
  constructor(
    private readonly capacityView: CapacityView,
    private readonly preemptor: Preemptor,
    private readonly stats: AdviceStats,
    private readonly preference: EndpointPreference,
  ) {}

  startRound(): void {
    // Does nothing: this selector keeps nothing per round.
  }

  recordStep(): void {
    // Does nothing: this selector does not consider the other steps of a round.
  }

  recordResponse(): void {
    // Does nothing: this selector keeps nothing per request.
  }

  chooseEndpoints(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    neededUntil: number,
  ): readonly EndpointState[] {
    const isScarce = this.capacityView.isCapacityScarce(step, eligible);
    if (!isScarce && !this.capacityView.hasUnreservedCpu(step)) {
      return [];
    }
    const advice = step.job.getStepAdvice(step.repetition, step.step);
    const open = eligible.filter((endpoint) => this.isAdviceMissing(step, advice, endpoint, neededUntil));
    return isScarce
      ? this.chooseWhenScarce(step, open, missing, neededUntil)
      : this.chooseAvailable(step, open, missing);
  }

  /**
   * Returns endpoints that have free capacity for a task: only those allowed before if the missing tasks fit there, otherwise as many as
   * the tasks are likely to need, sorted by cost, then by the number of pending requests, then by free capacity.
   */
  private chooseAvailable(
    step: WaitingStep,
    open: readonly EndpointState[],
    missing: number,
  ): readonly EndpointState[] {
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const available = open.filter((endpoint) => endpoint.hasCapacityFor(demand));
    if (available.length === 0) {
      return [];
    }
    const allowed = available.filter((endpoint) => this.hasBeenAllowed(step, endpoint));
    const fitCount = computeSum(
      allowed.map((endpoint) => this.capacityView.countFittingTasks(endpoint.getFreeCapacity(), shape)),
    );
    if (fitCount >= missing) {
      return allowed;
    }
    const computeCost = this.preference.createCostFunction(step, available);
    const ranked = available.map((endpoint, position) => ({
      endpoint,
      position,
      cost: computeCost(endpoint),
      pendingRequests: this.countPendingRequests(endpoint),
      freeCpuMillis: endpoint.getFreeCpuMillis(),
    }));
    return this.chooseEnough(step, new TinyQueue(ranked, compareCandidates), missing);
  }

  /**
   * Returns the first endpoints whose free capacity likely suffices for the missing tasks, given refusals and starts of other steps, and
   * enough of them that all being refused is unlikely.
   */
  private chooseEnough(
    step: WaitingStep,
    ranked: TinyQueue<RankedCandidate>,
    missing: number,
  ): readonly EndpointState[] {
    const queue = step.job.getQueue();
    const allowedShare = this.stats.getAllowedShare(queue.name);
    const wanted = (missing * PLACES_PER_TASK) / allowedShare;
    const minCount = Math.max(MIN_REQUEST_CANDIDATES, computeMinCandidates(queue.advice!, allowedShare));
    const chosen: EndpointState[] = [];
    let fitCount = 0;
    while (ranked.length > 0 && (fitCount < wanted || chosen.length < minCount)) {
      const { endpoint } = ranked.pop()!;
      fitCount += this.capacityView.countFittingTasks(endpoint.getFreeCapacity(), step.shape);
      chosen.push(endpoint);
    }
    return chosen;
  }

  /** Returns how many pending requests of all steps have the endpoint as a candidate. */
  private countPendingRequests(endpoint: EndpointState): number {
    return this.stats.countPendingRequests(endpoint.getProfile().incarnation);
  }

  /**
   * Returns the endpoints allowed before that have free capacity for a task, or would have it after preemption; if the missing tasks would
   * exceed their whole capacity, also all endpoints of sufficient capacity that have not been allowed before, free ones first. Returns
   * none for a gang that exceeds the capacity while no others are left.
   */
  private chooseWhenScarce(
    step: WaitingStep,
    open: readonly EndpointState[],
    missing: number,
    neededUntil: number,
  ): readonly EndpointState[] {
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const unknown = open.filter(
      (endpoint) =>
        !this.hasBeenAllowed(step, endpoint) && resourceMath.isWithin(demand, endpoint.getProfile().capacity),
    );
    const ready = open.filter(
      (endpoint) =>
        this.hasBeenAllowed(step, endpoint) &&
        (endpoint.hasCapacityFor(demand) ||
          this.preemptor.hasCapacityAfterPreemption(step, endpoint, demand, neededUntil)),
    );
    const readyCount = computeSum(
      ready.map((endpoint) => this.capacityView.countFittingTasks(endpoint.getProfile().capacity, shape)),
    );
    // A gang starts all its tasks or none; tasks of other steps start independently.
    if (shape.isGang && readyCount < missing && unknown.length === 0) {
      return [];
    }
    return readyCount >= missing ? ready : [...ready, ...this.sortWithFreeFirst(unknown, demand)];
  }

  /** Returns the endpoints with those first that have free capacity for the demand. */
  private sortWithFreeFirst(
    endpoints: readonly EndpointState[],
    demand: TaskDemand,
  ): readonly EndpointState[] {
    return [
      ...endpoints.filter((endpoint) => endpoint.hasCapacityFor(demand)),
      ...endpoints.filter((endpoint) => !endpoint.hasCapacityFor(demand)),
    ];
  }

  /** Returns whether the step may run another task on the endpoint, but has neither a refusal nor a ticket valid until `neededUntil`. */
  private isAdviceMissing(
    step: WaitingStep,
    advice: StepAdvice,
    endpoint: EndpointState,
    neededUntil: number,
  ): boolean {
    const { incarnation } = endpoint.getProfile();
    const isKnown =
      advice.isEndpointRefused(incarnation) || advice.getTicket(incarnation, neededUntil) !== undefined;
    return !isKnown && !this.capacityView.hasMaxTasksOfStep(step, endpoint);
  }

  private hasBeenAllowed(step: WaitingStep, endpoint: EndpointState): boolean {
    return step.job
      .getStepAdvice(step.repetition, step.step)
      .hasBeenAllowed(endpoint.getProfile().incarnation);
  }
}
