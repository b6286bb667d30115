import type { JobId } from '../../jobs/JobId';
import type { TaskDemand } from '../../jobs/TaskDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointState } from '../endpoints/EndpointState';
import { estimateRemainingByPaceMs } from '../stops/estimateRemainingByPaceMs';
import { estimateCapacityWaitMs } from '../stops/estimateCapacityWaitMs';
import { computeStopCost } from '../stops/computeStopCost';
import type { PreemptionRules } from '../stops/PreemptionRules';
import type { PreemptionEstimate } from '../stops/PreemptionEstimate';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from '../runs/PlacedRun';
import type { EndpointReservations } from './EndpointReservations';
import type { WaitingStep } from '../waiting/WaitingStep';

interface PreemptorOptions {
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly reservations: EndpointReservations;
  readonly rules: PreemptionRules;
  readonly handleRunPreempted: (
    endpoint: EndpointState,
    run: PlacedRun,
    step: WaitingStep,
    estimate: PreemptionEstimate,
  ) => void;
}

/** Preemptions on one endpoint, and the tasks that they let start. */
interface PreemptionPlan {
  /** Free capacity after the victims have ended and the tasks have started. */
  readonly free: TaskDemand;
  readonly victims: readonly PlacedRun[];
  /** Sum of the victims' costs by the preemption rules. */
  readonly cost: number;
  /** Number of tasks that can start. */
  readonly count: number;
}

/** Preemptions of one task, at most. */
const MAX_PREEMPTIONS = 2;
/** Runs that are expected to end sooner aren't preempted: a stop and a restart would take longer. */
const MIN_REMAINING_MS = 700;
/** Interval after which a preemption that wasn't worthwhile is considered again. */
const RECHECK_INTERVAL_MS = 200;
const MAX_PERCENT = 100;

/**
 * Preempts less urgent runs that keep checkpoints so that a step can start. Runs are stopped only where this lets a task, or the
 * whole gang, start.
 */
export class Preemptor {
  /** Wall clock time minus monotonic time, in milliseconds. */
  private wallOffsetMs = 0;

  constructor(private readonly options: PreemptorOptions) {}

  /** Sets the monotonic and the wall clock time of the round. */
  setTime(now: number, wallMs: number): void {
    this.wallOffsetMs = wallMs - now;
  }

  /** Returns whether one task of the step would fit on the endpoint after preemption of less urgent runs. */
  hasRoomAfterPreemption(
    step: WaitingStep,
    endpoint: EndpointState,
    demand: TaskDemand,
    now: number,
  ): boolean {
    return this.createPlan(step, endpoint, demand, undefined, now) !== undefined;
  }

  /** Returns how long a ticket must stay valid for a preemption to complete, in milliseconds. */
  getMinTicketMs(): number {
    return this.options.rules.minTicketMs;
  }

  /** Starts to preempt runs on the allowed endpoints, unless a preemption for the step is under way or not worthwhile. */
  startPreemption(step: WaitingStep, allowed: readonly EndpointState[], now: number): void {
    const { reservations, handleRunPreempted: handlePreempted } = this.options;
    if (
      reservations.hasReservation(step) ||
      now < step.job.getPreemptionRetryAt(step.repetition, step.step)
    ) {
      return;
    }
    const plans = this.createPlans(step, allowed, now);
    const victimCount = [...plans.values()].reduce((sum, { victims }) => sum + victims.length, 0);
    if (victimCount === 0) {
      return;
    }
    const estimate = this.estimatePreemption(step, allowed, plans, now);
    if (!this.options.rules.isWorthwhile(estimate)) {
      step.job.recordPreemptionBackoff(step.repetition, step.step, now + RECHECK_INTERVAL_MS);
      return;
    }
    step.job.recordPreemptionAttempt(step.repetition, step.step, now, this.options.rules.initialRetryMs);
    for (const [endpoint, { victims }] of plans) {
      reservations.setReservation(
        endpoint.getProfile().incarnation,
        step,
        now + this.options.rules.reservationMs,
      );
      for (const run of victims) {
        this.options.jobs.get(run.job)?.recordPreemption(run.task);
        handlePreempted(endpoint, run, step, estimate);
      }
    }
  }

  private estimatePreemption(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    plans: ReadonlyMap<EndpointState, PreemptionPlan>,
    now: number,
  ): PreemptionEstimate {
    const { demand, estimatedMs, isGang, maxPerEndpoint } = step.shape;
    const startCount = [...plans.values()].reduce((sum, { count }) => sum + count, 0);
    const lostCoreMs = [...plans.values()]
      .flatMap(({ victims }) => victims)
      .reduce((sum, run) => sum + computeStopCost(this.toVictim(run, now)), 0);
    const endpoints = allowed.map((endpoint) => ({
      free: endpoint.getFreeCapacity(),
      holders: [...endpoint.getRuns()].map((run) => ({
        demand: run.demand,
        remainingMs: this.estimateRemainingMs(run, now),
      })),
    }));
    return {
      lostCoreMs,
      roomWaitMs: estimateCapacityWaitMs(
        endpoints,
        demand,
        isGang ? step.indexes.length : startCount,
        maxPerEndpoint,
      ),
      waitedMs: this.computeWaitedMs(step, now),
      slackMs: step.objectiveAtMs - (now + this.wallOffsetMs) - estimatedMs,
      allowedMs: step.objectiveAtMs - step.job.definition.acceptedAtMs,
      waitingCpuMillis: startCount * demand.cpuMillis,
    };
  }

  private computeWaitedMs({ job, repetition: time, step }: WaitingStep, now: number): number {
    return Object.values(job.getWait(time, step).getTimes(now)).reduce((sum, ms) => sum + ms, 0);
  }

  private estimateRemainingMs(run: PlacedRun, now: number): number {
    const job = this.options.jobs.get(run.job);
    const shape = job?.definition.steps[run.address.step];
    if (job === undefined || shape === undefined || shape.isLongRunning) {
      return Infinity;
    }
    const median = job.getSpeeds(run.address.repetition, run.address.step).getMedian();
    return estimateRemainingByPaceMs(run, median ?? shape.estimatedMs / MAX_PERCENT, now);
  }

  private toVictim(run: PlacedRun, now: number): Parameters<PreemptionRules['computeCost']>[0] {
    const shape = this.options.jobs.get(run.job)?.definition.steps[run.address.step];
    return {
      cpuMillis: run.demand.cpuMillis,
      workedMs: now - (run.checkpointedAt ?? run.startConfirmedAt),
      isSaving: shape?.isCheckpointing === true,
    };
  }

  /** Returns a plan for each endpoint used, for as many tasks as possible; none for a gang that couldn't start as a whole. */
  private createPlans(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    now: number,
  ): ReadonlyMap<EndpointState, PreemptionPlan> {
    const plans = new Map<EndpointState, PreemptionPlan>();
    for (let count = 0; count < step.indexes.length; count += 1) {
      let best: EndpointState | undefined;
      let bestPlan: PreemptionPlan | undefined;
      for (const endpoint of allowed) {
        const plan = this.createPlan(step, endpoint, step.shape.demand, plans.get(endpoint), now);
        if (plan !== undefined && (bestPlan === undefined || plan.cost < bestPlan.cost)) {
          best = endpoint;
          bestPlan = plan;
        }
      }
      if (best === undefined || bestPlan === undefined) {
        return step.shape.isGang ? new Map() : plans;
      }
      plans.set(best, bestPlan);
    }
    return plans;
  }

  /** Returns the plan of an endpoint extended by one task; undefined when the task doesn't fit even after preemption. */
  private createPlan(
    step: WaitingStep,
    endpoint: EndpointState,
    demand: TaskDemand,
    before: PreemptionPlan | undefined,
    now: number,
  ): PreemptionPlan | undefined {
    let free = before?.free ?? endpoint.getFreeCapacity();
    const earlier = before?.victims ?? [];
    let added: PlacedRun[] = [];
    if (!resourceMath.isWithin(demand, free)) {
      for (const run of this.listCandidates(step, endpoint, now)) {
        if (!earlier.includes(run)) {
          added.push(run);
          free = resourceMath.computeSum(free, run.demand);
        }
        if (resourceMath.isWithin(demand, free)) {
          break;
        }
      }
    }
    if (!resourceMath.isWithin(demand, free)) {
      return undefined;
    }
    if (this.options.rules.isMinimizingVictims) {
      ({ added, free } = this.computeNeeded(added, free, demand));
    }
    const victims = [...earlier, ...added];
    const cost = added.reduce(
      (sum, run) => sum + this.options.rules.computeCost(this.toVictim(run, now)),
      before?.cost ?? 0,
    );
    const count = (before?.count ?? 0) + 1;
    return { free: resourceMath.computeDifference(free, demand), victims, cost, count };
  }

  /** Returns the victims without those that turn out unnecessary, since later ones free enough capacity. */
  private computeNeeded(
    victims: readonly PlacedRun[],
    free: TaskDemand,
    demand: TaskDemand,
  ): { readonly added: PlacedRun[]; readonly free: TaskDemand } {
    const added = [...victims];
    let remaining = free;
    for (const run of victims) {
      const without = resourceMath.computeDifference(remaining, run.demand);
      if (resourceMath.isWithin(demand, without)) {
        added.splice(added.indexOf(run), 1);
        remaining = without;
      }
    }
    return { added, free: remaining };
  }

  /** Returns the runs that may be preempted for the step, lowest priority first, then least progress first. */
  private listCandidates(step: WaitingStep, endpoint: EndpointState, now: number): readonly PlacedRun[] {
    const { priority } = step.job.definition.queue;
    return [...endpoint.getRuns()]
      .filter((run) => run.priority > priority && this.isPreemptible(run, now))
      .sort((left, right) => right.priority - left.priority || left.percent - right.percent);
  }

  private isPreemptible(run: PlacedRun, now: number): boolean {
    const job = this.options.jobs.get(run.job);
    const shape = job?.definition.steps[run.address.step];
    if (job === undefined || shape === undefined || run.stage !== 'running' || !shape.isCheckpointing) {
      return false;
    }
    const isExcluded = shape.isGang || shape.isLongRunning || shape.isFiller;
    const preemptions = job.countPreemptions(run.task);
    const hasWorkedEnough = preemptions === 0 || now - run.startConfirmedAt >= this.options.rules.minWorkMs;
    return !isExcluded && preemptions < MAX_PREEMPTIONS && hasWorkedEnough && !this.isEndingSoon(run, now);
  }

  private isEndingSoon(run: PlacedRun, now: number): boolean {
    const workedMs = now - run.startConfirmedAt;
    return run.percent > 0 && (workedMs * (MAX_PERCENT - run.percent)) / run.percent < MIN_REMAINING_MS;
  }
}
