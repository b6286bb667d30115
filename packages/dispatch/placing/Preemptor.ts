import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
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
  readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly reservations: EndpointReservations;
  readonly preemptionRules: PreemptionRules;
  /** Called for each run that is to be stopped for the step. */
  readonly handleRunPreempted: (
    endpoint: EndpointState,
    run: PlacedRun,
    step: WaitingStep,
    estimate: PreemptionEstimate,
  ) => void;
}

/** Runs to preempt on one endpoint, and the number of tasks that can then start there. */
interface PreemptionPlan {
  /** Capacity left free after the victims have ended and the tasks have started. */
  readonly remainingCapacity: TaskDemand;
  readonly victims: readonly PlacedRun[];
  /** Sum of the costs of the victims by the preemption rules. */
  readonly totalCost: number;
  readonly startableCount: number;
}

/** A task that has been preempted this often isn't preempted again. */
const MAX_PREEMPTIONS = 2;
/** Runs that are expected to end sooner than this aren't preempted, since a stop and a restart would take longer. */
const MIN_REMAINING_MS = 700;
/** Time after which a preemption that wasn't worthwhile is considered again. */
const PREEMPTION_RECHECK_MS = 200;
const FULL_PERCENT = 100;

/**
 * Preempts less urgent runs, of steps that write checkpoints, so that a waiting step can start. Runs are preempted only where this lets
 * a task start, or, for a gang, all of its members.
 */
export class Preemptor {
  /** Wall clock time minus monotonic time, in milliseconds. */
  private wallOffsetMs = 0;
  /** Runs that may be preempted for steps of any higher priority, in the order of preemption, by endpoint; as of `preemptibleAt`. */
  private readonly preemptibleRuns = new Map<EndpointState, readonly PlacedRun[]>();
  /** Monotonic time for which `preemptibleRuns` is valid. */
  private preemptibleAt = -Infinity;
  /** Priority of the least urgent run that may be preempted; undefined until it is computed in this round. */
  private leastUrgentPriority: number | undefined;

  constructor(private readonly options: PreemptorOptions) {}

  /** Begins a round: sets the offset between the monotonic and the wall clock, by which slack is computed, and clears cached runs. */
  startRound(now: number, wallMs: number): void {
    this.preemptibleRuns.clear();
    this.leastUrgentPriority = undefined;
    this.wallOffsetMs = wallMs - now;
  }

  /** Returns whether a demand fits on the endpoint, now or after preemption of runs that are less urgent than the step. */
  hasCapacityAfterPreemption(
    step: WaitingStep,
    endpoint: EndpointState,
    demand: TaskDemand,
    now: number,
  ): boolean {
    return this.createExtendedPlan(step, endpoint, demand, undefined, now) !== undefined;
  }

  /** Returns the time for which the ticket of an endpoint must still be valid if runs are preempted there, in milliseconds. */
  getMinTicketValidityMs(): number {
    return this.options.preemptionRules.minTicketValidityMs;
  }

  /** Returns whether any run may be preempted for the step, which has no reservation and whose last attempt isn't backing off. */
  canStartPreemption(step: WaitingStep, now: number): boolean {
    this.leastUrgentPriority ??= this.computeLeastUrgentPriority(now);
    return (
      step.job.getQueue().priority < this.leastUrgentPriority &&
      now >= step.job.getStepPreemptionRetryAt(step.repetition, step.step) &&
      !this.options.reservations.hasReservationFor(step)
    );
  }

  /**
   * Reserves endpoints for a step and reports the runs to preempt there by `handleRunPreempted`. Does nothing while the step has a
   * reservation, while its last attempt is backing off, or when no runs can be preempted. If the preemption isn't worthwhile, only
   * schedules the next attempt.
   */
  startPreemption(step: WaitingStep, allowed: readonly EndpointState[], now: number): void {
    const { reservations, handleRunPreempted } = this.options;
    if (!this.canStartPreemption(step, now)) {
      return;
    }
    const plans = this.createPreemptionPlans(step, allowed, now);
    const victimCount = [...plans.values()].reduce((sum, { victims }) => sum + victims.length, 0);
    if (victimCount === 0) {
      return;
    }
    const estimate = this.estimatePreemption(step, allowed, plans, now);
    if (!this.options.preemptionRules.isWorthwhile(estimate)) {
      step.job.recordStepPreemptionBackoff(step.repetition, step.step, now + PREEMPTION_RECHECK_MS);
      return;
    }
    step.job.recordStepPreemption(
      step.repetition,
      step.step,
      now,
      this.options.preemptionRules.initialRetryDelayMs,
    );
    for (const [endpoint, { victims }] of plans) {
      reservations.setReservation(
        endpoint.getProfile().incarnation,
        step,
        now + this.options.preemptionRules.reservationMs,
      );
      this.preemptibleRuns.delete(endpoint);
      for (const run of victims) {
        this.options.jobs.get(run.job)?.recordTaskPreemption(run.task);
        handleRunPreempted(endpoint, run, step, estimate);
      }
    }
  }

  /** Returns the estimated gain and loss of the preemptions in the plans. */
  private estimatePreemption(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    plans: ReadonlyMap<EndpointState, PreemptionPlan>,
    now: number,
  ): PreemptionEstimate {
    const { demand, estimatedMs, isGang, maxPerEndpoint } = step.shape;
    const totalStartableCount = [...plans.values()].reduce(
      (sum, { startableCount }) => sum + startableCount,
      0,
    );
    const lostCoreMs = [...plans.values()]
      .flatMap(({ victims }) => victims)
      .reduce((sum, run) => sum + computeStopCost(this.toVictim(run, now)), 0);
    const endpoints = allowed.map((endpoint) => ({
      freeCapacity: endpoint.getFreeCapacity(),
      capacityHolders: [...endpoint.getRuns()].map((run) => ({
        demand: run.demand,
        remainingMs: this.estimateRemainingRunMs(run, now),
      })),
    }));
    return {
      lostCoreMs,
      roomWaitMs: estimateCapacityWaitMs(
        endpoints,
        demand,
        isGang ? step.indexes.length : totalStartableCount,
        maxPerEndpoint,
      ),
      waitedMs: this.computeStepWaitMs(step, now),
      slackMs: step.objectiveAtMs - (now + this.wallOffsetMs) - estimatedMs,
      allowedMs: step.objectiveAtMs - step.job.definition.acceptedAtMs,
      waitingCpuMillis: totalStartableCount * demand.cpuMillis,
    };
  }

  /** Returns the time that the step has waited since its last placement, in milliseconds. */
  private computeStepWaitMs({ job, repetition, step }: WaitingStep, now: number): number {
    return Object.values(job.getStepWait(repetition, step).getWaitTimes(now)).reduce(
      (sum, ms) => sum + ms,
      0,
    );
  }

  /** Returns the time until a run ends by its pace, in milliseconds; Infinity for long-running steps and unknown jobs. */
  private estimateRemainingRunMs(run: PlacedRun, now: number): number {
    const job = this.options.jobs.get(run.job);
    const shape = job?.definition.steps[run.address.step];
    if (job === undefined || shape === undefined || shape.isLongRunning) {
      return Infinity;
    }
    const median = job.getStepSpeeds(run.address.repetition, run.address.step).getMedianPace();
    return estimateRemainingByPaceMs(run, median ?? shape.estimatedMs / FULL_PERCENT, now);
  }

  /** Returns the properties of a run on which the cost of its preemption depends. */
  private toVictim(run: PlacedRun, now: number): Parameters<PreemptionRules['computeVictimCost']>[0] {
    const shape = this.options.jobs.get(run.job)?.definition.steps[run.address.step];
    return {
      cpuMillis: run.demand.cpuMillis,
      sinceCheckpointMs: now - (run.checkpointedAt ?? run.startConfirmedAt),
      isSavingOnStop: shape?.isCheckpointing === true,
    };
  }

  /**
   * Returns plans by endpoint that together let as many tasks start as possible, each on the endpoint whose plan then has the lowest
   * total cost; none for a gang of which not all members could start.
   */
  private createPreemptionPlans(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    now: number,
  ): ReadonlyMap<EndpointState, PreemptionPlan> {
    const plans = new Map<EndpointState, PreemptionPlan>();
    for (let count = 0; count < step.indexes.length; count += 1) {
      let best: EndpointState | undefined;
      let bestPlan: PreemptionPlan | undefined;
      for (const endpoint of allowed) {
        const plan = this.createExtendedPlan(step, endpoint, step.shape.demand, plans.get(endpoint), now);
        if (plan !== undefined && (bestPlan === undefined || plan.totalCost < bestPlan.totalCost)) {
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

  /**
   * Returns the plan `before`, or an empty plan, extended by one task; undefined when the task doesn't fit even after all possible
   * preemptions.
   */
  private createExtendedPlan(
    step: WaitingStep,
    endpoint: EndpointState,
    demand: TaskDemand,
    before: PreemptionPlan | undefined,
    now: number,
  ): PreemptionPlan | undefined {
    let free = before?.remainingCapacity ?? endpoint.getFreeCapacity();
    const earlier = before?.victims ?? [];
    let added: PlacedRun[] = [];
    if (!resourceMath.isWithin(demand, free)) {
      for (const run of this.listPreemptibleRuns(step, endpoint, now)) {
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
    if (this.options.preemptionRules.isMinimizingVictims) {
      ({ added, free } = this.computeNeededVictims(added, free, demand));
    }
    const victims = [...earlier, ...added];
    const totalCost = added.reduce(
      (sum, run) => sum + this.options.preemptionRules.computeVictimCost(this.toVictim(run, now)),
      before?.totalCost ?? 0,
    );
    const startableCount = (before?.startableCount ?? 0) + 1;
    return {
      remainingCapacity: resourceMath.computeDifference(free, demand),
      victims,
      totalCost,
      startableCount,
    };
  }

  /** Returns as `added` the victims that are needed for the demand to fit, and as `free` the capacity that is free once they have ended. */
  private computeNeededVictims(
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

  /** Returns the runs on an endpoint that may be preempted for the step, the least urgent first, then by progress, the least first. */
  private listPreemptibleRuns(step: WaitingStep, endpoint: EndpointState, now: number): readonly PlacedRun[] {
    const { priority } = step.job.getQueue();
    const preemptible = this.getPreemptibleRuns(endpoint, now);
    return preemptible.length === 0 ? preemptible : preemptible.filter((run) => run.priority > priority);
  }

  /** Returns the highest number of a priority among the runs that may be preempted; -Infinity when there are none. */
  private computeLeastUrgentPriority(now: number): number {
    let priority = -Infinity;
    for (const endpoint of this.options.endpoints.values()) {
      priority = Math.max(priority, this.getPreemptibleRuns(endpoint, now)[0]?.priority ?? -Infinity);
    }
    return priority;
  }

  /** Returns the runs on an endpoint that may be preempted at all, in the order of `listPreemptibleRuns`; cached for one time in a round. */
  private getPreemptibleRuns(endpoint: EndpointState, now: number): readonly PlacedRun[] {
    if (now !== this.preemptibleAt) {
      this.preemptibleAt = now;
      this.preemptibleRuns.clear();
    }
    const known = this.preemptibleRuns.get(endpoint);
    if (known !== undefined) {
      return known;
    }
    const runs: PlacedRun[] = [];
    for (const run of endpoint.getRuns()) {
      if (this.isPreemptible(run, now)) {
        runs.push(run);
      }
    }
    runs.sort((left, right) => right.priority - left.priority || left.percent - right.percent);
    this.preemptibleRuns.set(endpoint, runs);
    return runs;
  }

  /**
   * Returns whether a run may be preempted at all: it is running, writes checkpoints, belongs to no gang, long-running step or filler, was
   * not preempted too often or too recently, and isn't about to end.
   */
  private isPreemptible(run: PlacedRun, now: number): boolean {
    const job = this.options.jobs.get(run.job);
    const shape = job?.definition.steps[run.address.step];
    if (run.stage !== 'running' || job === undefined || shape?.isCheckpointing !== true) {
      return false;
    }
    const isExcluded = shape.isGang || shape.isLongRunning || shape.isFiller;
    const preemptions = job.countTaskPreemptions(run.task);
    const hasWorkedEnough =
      preemptions === 0 || now - run.startConfirmedAt >= this.options.preemptionRules.minWorkAfterRestartMs;
    return !isExcluded && preemptions < MAX_PREEMPTIONS && hasWorkedEnough && !this.isEndingSoon(run, now);
  }

  /** Returns whether the run, by its progress so far, ends within `MIN_REMAINING_MS`; false before any progress. */
  private isEndingSoon(run: PlacedRun, now: number): boolean {
    const workedMs = now - run.startConfirmedAt;
    return run.percent > 0 && (workedMs * (FULL_PERCENT - run.percent)) / run.percent < MIN_REMAINING_MS;
  }
}
