import { toReservedDemand } from '../../jobs/toReservedDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { AdviceStats } from './AdviceStats';
import type { CandidateSelector } from './CandidateSelector';
import { chooseRequestSize } from './chooseRequestSize';
import type { EndpointState } from '../endpoints/EndpointState';
import type { EndpointPreference } from '../placing/EndpointPreference';
import type { Preemptor } from '../placing/Preemptor';
import { DemandAhead } from './DemandAhead';
import { CapacityClaims } from './CapacityClaims';
import type { CapacityView } from '../placing/CapacityView';
import { toStepName } from '../waiting/toStepName';
import type { WaitingStep } from '../waiting/WaitingStep';

interface PlannedCandidateSelectorOptions {
  readonly capacityView: CapacityView;
  readonly preemptor: Preemptor;
  readonly stats: AdviceStats;
  readonly preference: EndpointPreference;
}

/** An endpoint that a request may ask about. */
interface PlannedCandidate {
  readonly endpoint: EndpointState;
  /** Number of the step's tasks that fit. */
  readonly taskCount: number;
  /** Probability that the service allows the step to use the endpoint. */
  readonly allowedChance: number;
  /** Probability that the endpoint is allowed and has free capacity for the tasks when the response arrives. */
  readonly usableChance: number;
  /** Cost of placing a task of the step there; lower is better. */
  readonly cost: number;
}

/** Conditions under which the candidates of a step are grouped. */
interface RequestContext {
  /** Whether capacity that preemption of less urgent runs would free counts. */
  readonly canPreempt: boolean;
  /** Monotonic time until which tickets have to be valid at least. */
  readonly neededUntil: number;
  readonly now: number;
}

/** Eligible endpoints of a step, by whether they have free capacity and a ticket that is valid until a response could be used. */
interface CandidateGroups {
  /** Number of tasks that fit on the endpoints whose ticket is valid until a response could be used. */
  ticketedTaskCount: number;
  /** Endpoints without a ticket valid until then, with free capacity that no request at least as urgent claims. */
  readonly available: PlannedCandidate[];
  /** Endpoints without a ticket valid until then and without free capacity, but large enough for a task. */
  readonly full: PlannedCandidate[];
  /** Endpoints whose ticket is valid until then but expires soon, and where a task fits. */
  readonly expiring: PlannedCandidate[];
}

/** Time in which half of the free capacity is expected to be taken by other steps. */
const CAPACITY_HALF_LIFE_MS = 1000;
/** Assumed probability that capacity is freed on a full endpoint while its ticket is valid. */
const CAPACITY_FREED_CHANCE = 0.3;
/** Expected delay from a response to the starts that use it. */
const RESPONSE_TO_START_MS = 120;
/** Assumed time of a request beyond the response time of the service. */
const REQUEST_OVERHEAD_MS = 30;
/** Maximum number of candidates for a step that is not a gang, whose first tasks can start before all have tickets. */
const MAX_CANDIDATES_WITHOUT_GANG = 40;
/** Maximum number of endpoints that the service accepts in one request. */
const MAX_CANDIDATES = 100;
/** Maximum number of tasks on one endpoint for which capacity after preemption is computed. */
const MAX_PREEMPTION_TASKS_PER_ENDPOINT = 3;
/** Minimum share of a gang's missing tasks that are expected to be allowed on available endpoints, for a request to be sent. */
const MIN_EXPECTED_GANG_SHARE = 0.4;
/** Decision time of the service that one expected start justifies. */
const DECISION_MS_PER_START = 50;
/** Deferral after which a step requests tickets whatever more urgent steps demand or claim, since they may not be allowed on those endpoints. */
const MAX_DEMAND_DEFERRAL_MS = 2000;
/** Minimum time from a step's latest response to its next request when the expected starts don't justify the decision time. */
const MIN_UNJUSTIFIED_DELAY_MS = 500;
/** Tickets with a smaller share of their validity left count as expiring: the next request of a gang renews them. */
const MIN_REMAINING_VALIDITY_SHARE = 0.6;

/** Returns how many tasks fit on the candidates together. */
const countTasks = (candidates: readonly PlannedCandidate[]): number =>
  candidates.reduce((sum, { taskCount }) => sum + taskCount, 0);

/**
 * Selects candidates only when the expected starts justify a request, and so many that another request is unlikely. Claims the
 * capacity of the candidates until the request ends, so that requests that are not more urgent do not count on it.
 */
export class PlannedCandidateSelector implements CandidateSelector {
  /** Capacity that pending requests count on. */
  private readonly claims = new CapacityClaims();
  /** Demand of the steps recorded in this round. */
  private readonly demandAhead = new DemandAhead();

  constructor(private readonly options: PlannedCandidateSelectorOptions) {}

  startRound(): void {
    this.demandAhead.startRound();
  }

  recordStep(step: WaitingStep, missing: number): void {
    this.demandAhead.recordStep(step, missing);
  }

  chooseEndpoints(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    neededUntil: number,
    now: number,
  ): readonly EndpointState[] {
    const { capacityView } = this.options;
    const canPreempt = capacityView.isCapacityScarce(step, eligible);
    const isLessUrgent = !capacityView.isMostUrgentQueue(step.job.getQueue());
    if (
      isLessUrgent &&
      !this.isStarved(step, now) &&
      this.demandAhead.isExceedingCapacity(step, eligible, canPreempt)
    ) {
      return [];
    }
    const groups = this.computeCandidateGroups(step, eligible, { canPreempt, neededUntil, now });
    const needed = missing - groups.ticketedTaskCount;
    if (needed <= 0 || !this.isRequestUseful(step, groups, needed, now)) {
      return [];
    }
    const chosen = this.chooseCandidates(step, groups, needed);
    this.addClaims(step, chosen, needed);
    return chosen.map(({ endpoint }) => endpoint);
  }

  recordResponse(step: string, candidates: readonly EndpointIncarnation[]): void {
    this.claims.removeClaims(step, candidates);
  }

  /** Returns the candidates of a request for the needed tasks, the most useful first; for a gang also those whose tickets expire soon. */
  private chooseCandidates(
    step: WaitingStep,
    groups: CandidateGroups,
    needed: number,
  ): readonly PlannedCandidate[] {
    const { isGang } = step.shape;
    const { decisionMs, perEndpointMs } = step.job.getQueue().advice!;
    const available = this.sortCandidates(groups.available);
    const ranked = [...available, ...this.sortCandidates(groups.full)];
    const count = chooseRequestSize(ranked, needed, {
      fixedMs: decisionMs + REQUEST_OVERHEAD_MS,
      perEndpointMs,
      maxCandidates: isGang ? MAX_CANDIDATES : MAX_CANDIDATES_WITHOUT_GANG,
    });
    const expiring = isGang ? groups.expiring : [];
    return [...ranked.slice(0, count), ...expiring].slice(0, MAX_CANDIDATES);
  }

  /**
   * Returns whether a request for the needed tasks is justified. For a gang: enough of them are expected to be allowed on available
   * endpoints, or all fit there and requests have been deferred for as long as tickets are valid. For other steps, which must have an
   * available endpoint outside the reserve: the expected starts justify the decision time, or the latest response is long ago.
   */
  private isRequestUseful(
    step: WaitingStep,
    { available }: CandidateGroups,
    needed: number,
    now: number,
  ): boolean {
    const expected = available.reduce(
      (sum, { taskCount, allowedChance }) => sum + taskCount * allowedChance,
      0,
    );
    const advice = step.job.getStepAdvice(step.repetition, step.step);
    const { decisionMs, validityMs } = step.job.getQueue().advice!;
    if (step.shape.isGang) {
      // After a long deferral the request is sent although refusals are expected, since the expected share may be wrong for this step.
      const isDue = advice.getDeferredMs(now) >= validityMs && countTasks(available) >= needed;
      return isDue || expected >= needed * MIN_EXPECTED_GANG_SHARE;
    }
    const isDue = now - advice.getLastRespondedAt() >= MIN_UNJUSTIFIED_DELAY_MS;
    const isJustified = expected * DECISION_MS_PER_START >= decisionMs;
    return available.length > 0 && (isDue || isJustified) && this.options.capacityView.hasUnreservedCpu(step);
  }

  /** Returns the candidates by descending usable chance, then by cost, pending requests, fitting tasks (most first) and free capacity. */
  private sortCandidates(candidates: readonly PlannedCandidate[]): readonly PlannedCandidate[] {
    return [...candidates].sort(
      (left, right) =>
        right.usableChance - left.usableChance ||
        left.cost - right.cost ||
        this.countPendingRequests(left) - this.countPendingRequests(right) ||
        right.taskCount - left.taskCount ||
        right.endpoint.getFreeCpuMillis() - left.endpoint.getFreeCpuMillis(),
    );
  }

  /** Returns how many pending requests of all steps have the candidate's endpoint. */
  private countPendingRequests({ endpoint }: PlannedCandidate): number {
    return this.options.stats.countPendingRequests(endpoint.getProfile().incarnation);
  }

  /** Groups the eligible endpoints of a step, without those that are refused or that run the maximum number of its tasks. */
  private computeCandidateGroups(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    { canPreempt, neededUntil, now }: RequestContext,
  ): CandidateGroups {
    const { capacityView, stats, preference } = this.options;
    const queue = step.job.getQueue();
    const { decisionMs, perEndpointMs, validityMs } = queue.advice!;
    const advice = step.job.getStepAdvice(step.repetition, step.step);
    const responseMs = decisionMs + perEndpointMs * MAX_CANDIDATES_WITHOUT_GANG;
    const usedAt = Math.max(neededUntil, now + responseMs + RESPONSE_TO_START_MS);
    const stayChance = 0.5 ** (responseMs / CAPACITY_HALF_LIFE_MS);
    const renewUntil = now + validityMs * MIN_REMAINING_VALIDITY_SHARE;
    const demand = toReservedDemand(step.shape);
    const allowedShare = stats.getAllowedShare(queue.name);
    const isFirst = capacityView.isMostUrgentQueue(queue) || this.isStarved(step, now);
    const computeCost = preference.createCostFunction(step, eligible);
    const groups: CandidateGroups = { ticketedTaskCount: 0, available: [], full: [], expiring: [] };
    for (const endpoint of eligible) {
      const { incarnation, capacity } = endpoint.getProfile();
      if (advice.isEndpointRefused(incarnation) || capacityView.hasMaxTasksOfStep(step, endpoint)) {
        continue;
      }
      const taskCount = this.countFittingTasks(step, endpoint, canPreempt, now);
      if (advice.getTicket(incarnation, usedAt) !== undefined) {
        groups.ticketedTaskCount += taskCount;
        if (taskCount > 0 && advice.getTicket(incarnation, renewUntil) === undefined) {
          groups.expiring.push({ endpoint, taskCount, allowedChance: 1, usableChance: 1, cost: 0 });
        }
        continue;
      }
      const allowedChance = advice.hasBeenAllowed(incarnation) ? 1 : allowedShare;
      const unclaimed =
        taskCount === 0 || isFirst ? taskCount : this.countUnclaimedTasks(step, endpoint, taskCount);
      const cost = computeCost(endpoint);
      if (unclaimed > 0) {
        groups.available.push({
          endpoint,
          taskCount: unclaimed,
          allowedChance,
          usableChance: allowedChance * stayChance,
          cost,
        });
      } else if (resourceMath.isWithin(demand, capacity)) {
        groups.full.push({
          endpoint,
          taskCount: 1,
          allowedChance,
          usableChance: allowedChance * CAPACITY_FREED_CHANCE,
          cost,
        });
      }
    }
    return groups;
  }

  /** Returns how many tasks of the step fit, counting runs that are being stopped as gone and, if `canPreempt`, preemptible ones too. */
  private countFittingTasks(
    step: WaitingStep,
    endpoint: EndpointState,
    canPreempt: boolean,
    now: number,
  ): number {
    const capacity = resourceMath.computeSum(
      endpoint.getFreeCapacity(),
      this.computeStoppingDemand(endpoint),
    );
    const taskCount = this.options.capacityView.countFittingTasks(capacity, step.shape);
    const isPreemptionTried = canPreempt && taskCount < MAX_PREEMPTION_TASKS_PER_ENDPOINT;
    return isPreemptionTried
      ? Math.max(taskCount, this.countTasksAfterPreemption(step, endpoint, now))
      : taskCount;
  }

  /** Returns the sum of the resources of an endpoint's runs that are being stopped. */
  private computeStoppingDemand(endpoint: EndpointState): TaskDemand {
    let demand = resourceMath.ZERO;
    for (const run of endpoint.getRuns()) {
      demand = run.stage === 'stopping' ? resourceMath.computeSum(demand, run.demand) : demand;
    }
    return demand;
  }

  /** Returns how many tasks of the step would fit after preemption of less urgent runs, at most `MAX_PREEMPTION_TASKS_PER_ENDPOINT`. */
  private countTasksAfterPreemption(step: WaitingStep, endpoint: EndpointState, now: number): number {
    const { preemptor } = this.options;
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const maxCount =
      shape.maxPerEndpoint === 0
        ? MAX_PREEMPTION_TASKS_PER_ENDPOINT
        : Math.min(MAX_PREEMPTION_TASKS_PER_ENDPOINT, shape.maxPerEndpoint);
    let count = 0;
    while (
      count < maxCount &&
      preemptor.hasCapacityAfterPreemption(
        step,
        endpoint,
        resourceMath.computeProduct(demand, count + 1),
        now,
      )
    ) {
      count += 1;
    }
    return count;
  }

  /** Returns whether requests for the step have been deferred for `MAX_DEMAND_DEFERRAL_MS` or longer. */
  private isStarved({ job, repetition, step }: WaitingStep, now: number): boolean {
    return job.getStepAdvice(repetition, step).getDeferredMs(now) >= MAX_DEMAND_DEFERRAL_MS;
  }

  /** Returns how many of the fitting tasks still fit without the capacity claimed by requests at least as urgent. */
  private countUnclaimedTasks(step: WaitingStep, endpoint: EndpointState, taskCount: number): number {
    const { capacityView } = this.options;
    const claimed = this.claims.computeClaimed(
      endpoint.getProfile().incarnation,
      step.job.getQueue().priority,
    );
    if (claimed === resourceMath.ZERO) {
      return taskCount;
    }
    const whole = resourceMath.computeProduct(toReservedDemand(step.shape), taskCount);
    return capacityView.countFittingTasks(resourceMath.computeDifference(whole, claimed), step.shape);
  }

  /** Claims capacity for the needed tasks on the chosen candidates, in proportion to how many tasks fit on each. */
  private addClaims(step: WaitingStep, chosen: readonly PlannedCandidate[], needed: number): void {
    const demand = toReservedDemand(step.shape);
    const share = Math.min(1, needed / Math.max(1, countTasks(chosen)));
    const { priority } = step.job.getQueue();
    for (const { endpoint, taskCount } of chosen) {
      const claim = {
        stepName: toStepName(step),
        priority,
        demand: resourceMath.computeProduct(demand, taskCount * share),
      };
      this.claims.addClaim(endpoint.getProfile().incarnation, claim);
    }
  }
}
