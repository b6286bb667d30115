import { toReservedDemand } from '../../jobs/toReservedDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { AdviceStats } from './AdviceStats';
import type { CandidateSelector } from './CandidateSelector';
import type { EndpointState } from '../endpoints/EndpointState';
import type { Preemptor } from '../placing/Preemptor';
import type { CapacityView } from '../placing/CapacityView';
import type { EndpointPreference } from '../placing/EndpointPreference';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Candidates to allow for each missing task, after refusals, since other steps take some of the capacity meanwhile. */
const PLACES_PER_TASK = 2;
/** Minimum number of candidates: the fixed cost of a request exceeds the cost of this many. */
const MIN_CANDIDATES = 5;

const computeSum = (counts: readonly number[]): number => counts.reduce((sum, count) => sum + count, 0);

/** Selects candidates whenever tickets are missing: endpoints with free capacity, or all where that is scarce. */
export class EagerCandidateSelector implements CandidateSelector {
  constructor(
    private readonly capacityView: CapacityView,
    private readonly preemptor: Preemptor,
    private readonly stats: AdviceStats,
    private readonly preference: EndpointPreference,
  ) {}

  startRound(): void {
    // Keeps no state of a round.
  }

  recordStep(): void {
    // Does not consider earlier steps.
  }

  recordResponse(): void {
    // Keeps no state of requests.
  }

  chooseEndpoints(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    neededUntil: number,
  ): readonly EndpointState[] {
    const open = eligible.filter((endpoint) => this.isAdviceMissing(step, endpoint, neededUntil));
    return this.capacityView.isCapacityScarce(step, eligible)
      ? this.chooseWhenScarce(step, open, missing, neededUntil)
      : this.chooseAvailable(step, open, missing);
  }

  /**
   * Returns endpoints with free capacity: only those allowed before if they suffice, otherwise as many as the tasks are likely to need,
   * by cost, then by the number of pending requests, so that concurrent requests do not count on the same capacity.
   */
  private chooseAvailable(
    step: WaitingStep,
    open: readonly EndpointState[],
    missing: number,
  ): readonly EndpointState[] {
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const available = open.filter((endpoint) => endpoint.hasCapacityFor(demand));
    if (available.length === 0 || !this.capacityView.isOutsideReserve(step)) {
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
    const costs = new Map(available.map((endpoint) => [endpoint, computeCost(endpoint)]));
    const ranked = [...available].sort(
      (left, right) =>
        costs.get(left)! - costs.get(right)! ||
        this.countPendingRequests(left) - this.countPendingRequests(right) ||
        right.getFreeCpuMillis() - left.getFreeCpuMillis(),
    );
    return this.chooseEnough(step, ranked, missing);
  }

  /** Returns the first endpoints that are likely to hold the missing tasks, given the allowed share of the queue. */
  private chooseEnough(
    step: WaitingStep,
    ranked: readonly EndpointState[],
    missing: number,
  ): readonly EndpointState[] {
    const wanted = (missing * PLACES_PER_TASK) / this.stats.getAllowedShare(step.job.definition.queue.name);
    let fitCount = 0;
    let count = 0;
    while (count < ranked.length && (fitCount < wanted || count < MIN_CANDIDATES)) {
      fitCount += this.capacityView.countFittingTasks(ranked[count]!.getFreeCapacity(), step.shape);
      count += 1;
    }
    return ranked.slice(0, count);
  }

  private countPendingRequests(endpoint: EndpointState): number {
    return this.stats.countPendingRequests(endpoint.getProfile().incarnation);
  }

  /**
   * Returns the endpoints allowed before that have free capacity or would have it after preemption; while they do not suffice, also all
   * other endpoints that are large enough, since a refusal is final and a ticket may find free capacity later.
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
          this.preemptor.hasRoomAfterPreemption(step, endpoint, demand, neededUntil)),
    );
    const readyCount = computeSum(
      ready.map((endpoint) => this.capacityView.countFittingTasks(endpoint.getProfile().capacity, shape)),
    );
    // A gang starts all its tasks or none; tasks of other steps start independently.
    if (shape.isGang && readyCount < missing && unknown.length === 0) {
      return [];
    }
    return readyCount >= missing ? ready : [...ready, ...unknown];
  }

  /** Returns whether the step may start another task on the endpoint, but has neither a refusal nor a ticket valid until then. */
  private isAdviceMissing(step: WaitingStep, endpoint: EndpointState, neededUntil: number): boolean {
    const advice = step.job.getAdvice(step.repetition, step.step);
    const { incarnation } = endpoint.getProfile();
    const isKnown = advice.isRefused(incarnation) || advice.getTicket(incarnation, neededUntil) !== undefined;
    return !isKnown && !this.capacityView.hasMaxTasks(step, endpoint);
  }

  private hasBeenAllowed(step: WaitingStep, endpoint: EndpointState): boolean {
    return step.job.getAdvice(step.repetition, step.step).hasBeenAllowed(endpoint.getProfile().incarnation);
  }
}
