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
interface Candidate {
  readonly endpoint: EndpointState;
  /** Number of the step's tasks that fit. */
  readonly taskCount: number;
  /** Probability that the service allows the step to use the endpoint. */
  readonly allowedChance: number;
  /** Probability that it is allowed and still has the capacity when the response arrives. */
  readonly usableChance: number;
  readonly cost: number;
}

interface RequestContext {
  /** Less urgent runs may be preempted for the step. */
  readonly canPreempt: boolean;
  /** Monotonic time until which tickets have to be valid. */
  readonly neededUntil: number;
  readonly now: number;
}

/** Eligible endpoints of a step, by what a request could achieve there. */
interface CandidateGroups {
  /** Number of tasks that fit on endpoints whose tickets will still be valid when a response arrives. */
  ticketedTaskCount: number;
  /** Without such a ticket, with free capacity that no other request claims. */
  readonly available: Candidate[];
  /** Without such a ticket and without free capacity. */
  readonly full: Candidate[];
  /** With such a ticket, which expires soon. */
  readonly expiring: Candidate[];
}

/** Time in which half of the free capacity is expected to be taken by others. */
const CAPACITY_HALF_LIFE_MS = 1000;
/** Probability that capacity is freed on a full endpoint while its ticket is valid. */
const CAPACITY_FREED_CHANCE = 0.3;
/** Delay from a response to the starts that use it. */
const START_DELAY_MS = 120;
/** Time of a request beyond the response time of the service. */
const REQUEST_OVERHEAD_MS = 30;
/** Limit for tasks that start independently, so that the first ones need not wait for a long request. */
const MAX_CANDIDATES_WITHOUT_GANG = 40;
/** Maximum number of endpoints that the service accepts in one request. */
const MAX_CANDIDATES = 100;
/** Maximum number of tasks on one endpoint that preemption is tried for. */
const MAX_PREEMPTION_TASKS = 3;
/** Share of a gang's capacity that has to be available for a request; more may be freed until its tickets expire. */
const MIN_GANG_CAPACITY_SHARE = 0.4;
/** Decision time that one expected start justifies. */
const DECISION_MS_PER_START = 50;
/** Minimum interval between requests whose decision time is not justified by the expected starts. */
const MIN_UNJUSTIFIED_DELAY_MS = 500;
/** Tickets with a smaller share of their validity left are renewed by the next request of a gang. */
const MIN_REMAINING_VALIDITY_SHARE = 0.6;

const countTasks = (candidates: readonly Candidate[]): number =>
  candidates.reduce((sum, { taskCount }) => sum + taskCount, 0);

/** Selects candidates only when a response is expected to find free capacity, and enough to make another request unlikely. */
export class PlannedCandidateSelector implements CandidateSelector {
  private readonly claims = new CapacityClaims();
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
    const isLessUrgent = !capacityView.isMostUrgent(step.job.definition.queue);
    if (isLessUrgent && this.demandAhead.isExceedingCapacity(step, eligible, canPreempt)) {
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

  private chooseCandidates(step: WaitingStep, groups: CandidateGroups, needed: number): readonly Candidate[] {
    const { isGang } = step.shape;
    const { decisionMs, perEndpointMs } = step.job.definition.queue.advice!;
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
   * Returns whether the expected starts justify a request. A gang needs capacity for all its tasks at once; tasks of other steps start
   * independently.
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
    const advice = step.job.getAdvice(step.repetition, step.step);
    const { decisionMs, validityMs } = step.job.definition.queue.advice!;
    if (step.shape.isGang) {
      // The expected share of refusals may be wrong for this step.
      const isDue = advice.getDeferredMs(now) >= validityMs && countTasks(available) >= needed;
      return isDue || expected >= needed * MIN_GANG_CAPACITY_SHARE;
    }
    const isDue = now - advice.getLastRespondedAt() >= MIN_UNJUSTIFIED_DELAY_MS;
    const isJustified = expected * DECISION_MS_PER_START >= decisionMs;
    return available.length > 0 && (isDue || isJustified) && this.options.capacityView.isOutsideReserve(step);
  }

  /** Sorts by descending chance, then by cost, the number of pending requests, and free capacity. */
  private sortCandidates(candidates: readonly Candidate[]): readonly Candidate[] {
    return [...candidates].sort(
      (left, right) =>
        right.usableChance - left.usableChance ||
        left.cost - right.cost ||
        this.countPendingRequests(left) - this.countPendingRequests(right) ||
        right.taskCount - left.taskCount ||
        right.endpoint.getFreeCpuMillis() - left.endpoint.getFreeCpuMillis(),
    );
  }

  private countPendingRequests({ endpoint }: Candidate): number {
    return this.options.stats.countPendingRequests(endpoint.getProfile().incarnation);
  }

  private computeCandidateGroups(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    { canPreempt, neededUntil, now }: RequestContext,
  ): CandidateGroups {
    const { capacityView, stats, preference } = this.options;
    const { queue } = step.job.definition;
    const { decisionMs, perEndpointMs, validityMs } = queue.advice!;
    const advice = step.job.getAdvice(step.repetition, step.step);
    const responseMs = decisionMs + perEndpointMs * MAX_CANDIDATES_WITHOUT_GANG;
    const usedAt = Math.max(neededUntil, now + responseMs + START_DELAY_MS);
    const stayChance = 0.5 ** (responseMs / CAPACITY_HALF_LIFE_MS);
    const renewUntil = now + validityMs * MIN_REMAINING_VALIDITY_SHARE;
    const demand = toReservedDemand(step.shape);
    const allowedShare = stats.getAllowedShare(queue.name);
    const isMostUrgent = capacityView.isMostUrgent(queue);
    const computeCost = preference.createCostFunction(step, eligible);
    const groups: CandidateGroups = { ticketedTaskCount: 0, available: [], full: [], expiring: [] };
    for (const endpoint of eligible) {
      const { incarnation, capacity } = endpoint.getProfile();
      if (advice.isRefused(incarnation) || capacityView.hasMaxTasks(step, endpoint)) {
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
        taskCount === 0 || isMostUrgent ? taskCount : this.countUnclaimedTasks(step, endpoint, taskCount);
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

  /** Returns how many tasks of the step fit, counting capacity that pending and possible preemptions free. */
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
    const isPreemptionTried = canPreempt && taskCount < MAX_PREEMPTION_TASKS;
    return isPreemptionTried
      ? Math.max(taskCount, this.countTasksAfterPreemption(step, endpoint, now))
      : taskCount;
  }

  /** Returns the resources of runs that are being stopped. */
  private computeStoppingDemand(endpoint: EndpointState): TaskDemand {
    let demand = resourceMath.ZERO;
    for (const run of endpoint.getRuns()) {
      demand = run.stage === 'stopping' ? resourceMath.computeSum(demand, run.demand) : demand;
    }
    return demand;
  }

  private countTasksAfterPreemption(step: WaitingStep, endpoint: EndpointState, now: number): number {
    const { preemptor } = this.options;
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const maxCount =
      shape.maxPerEndpoint === 0
        ? MAX_PREEMPTION_TASKS
        : Math.min(MAX_PREEMPTION_TASKS, shape.maxPerEndpoint);
    let count = 0;
    while (
      count < maxCount &&
      preemptor.hasRoomAfterPreemption(step, endpoint, resourceMath.computeProduct(demand, count + 1), now)
    ) {
      count += 1;
    }
    return count;
  }

  /** Returns how many of the fitting tasks remain after the claims of requests that are at least as urgent. */
  private countUnclaimedTasks(step: WaitingStep, endpoint: EndpointState, taskCount: number): number {
    const { capacityView } = this.options;
    const claimed = this.claims.computeClaimed(
      endpoint.getProfile().incarnation,
      step.job.definition.queue.priority,
    );
    if (claimed === resourceMath.ZERO) {
      return taskCount;
    }
    const whole = resourceMath.computeProduct(toReservedDemand(step.shape), taskCount);
    return capacityView.countFittingTasks(resourceMath.computeDifference(whole, claimed), step.shape);
  }

  /** Claims capacity for the needed tasks, spread in proportion over the chosen candidates. */
  private addClaims(step: WaitingStep, chosen: readonly Candidate[], needed: number): void {
    const demand = toReservedDemand(step.shape);
    const share = Math.min(1, needed / Math.max(1, countTasks(chosen)));
    const { priority } = step.job.definition.queue;
    for (const { endpoint, taskCount } of chosen) {
      const claim = {
        step: toStepName(step),
        priority,
        demand: resourceMath.computeProduct(demand, taskCount * share),
      };
      this.claims.addClaim(endpoint.getProfile().incarnation, claim);
    }
  }
}
