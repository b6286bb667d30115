import { toReservedDemand } from '../../jobs/toReservedDemand';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskProgress } from '../../jobs/TaskProgress';
import { createPlacedRun } from '../runs/createPlacedRun';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceRequester } from '../advice/AdviceRequester';
import type { EndpointState } from '../endpoints/EndpointState';
import type { StepLimiter } from './StepLimiter';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from '../runs/PlacedRun';
import type { Preemptor } from './Preemptor';
import { rankingRules } from './rankingRules';
import type { EndpointReservations } from './EndpointReservations';
import type { RunBudget } from './RunBudget';
import type { CapacityView } from './CapacityView';
import { isCrashSuspect } from '../crashes/isCrashSuspect';
import type { SuspectCosts } from './SuspectCosts';
import type { EndpointQuarantine } from '../stops/EndpointQuarantine';
import type { EndpointPreference } from './EndpointPreference';
import { isLongRunningRestart } from './isLongRunningRestart';
import { toRoundedWaitTimes } from '../waiting/toRoundedWaitTimes';
import { toStepName } from '../waiting/toStepName';
import type { WaitCause } from '../waiting/WaitCause';
import type { WaitingStep } from '../waiting/WaitingStep';

/** A run that takes capacity on an endpoint, before its start is recorded. */
interface Placement {
  readonly endpoint: EndpointState;
  readonly run: PlacedRun;
  /** Ticket of the advice service for the endpoint; empty for queues that need none. */
  readonly ticket: string;
}

/** A waiting task that this round may place, with its address. Of the crash suspects of a step, only one is startable at a time. */
interface StartableTask {
  readonly address: TaskAddress;
  readonly task: TaskProgress;
  /** The task may have crashed an endpoint. */
  readonly isSuspect: boolean;
}

type PlacementEffect = Extract<DispatchEffect, { kind: 'start' | 'tell' }>;

interface StepPlacerOptions {
  readonly capacityView: CapacityView;
  readonly stepLimiter: StepLimiter;
  readonly runBudget: RunBudget;
  readonly adviceRequester: AdviceRequester;
  readonly preemptor: Preemptor;
  readonly reservations: EndpointReservations;
  readonly preference: EndpointPreference;
  readonly suspectCosts: SuspectCosts;
  readonly quarantine: EndpointQuarantine;
  readonly sendEffect: (effect: PlacementEffect) => void;
}

/** Places waiting tasks on endpoints, requests advice for queues that need it, and starts preemption for steps that don't fit. */
export class StepPlacer {
  private readonly capacityView: CapacityView;
  /** Placements that take capacity only until `releaseTentativePlacements`. */
  private readonly tentativePlacements: Placement[] = [];

  constructor(private readonly options: StepPlacerOptions) {
    this.capacityView = options.capacityView;
  }

  /**
   * Places as many tasks of a step as possible. Requests advice for tasks that found no endpoint, and records why tasks are left waiting.
   * Starts preemption if no task was placed and capacity is scarce. Returns whether any task was placed.
   */
  placeStep(waitingStep: WaitingStep, now: number): boolean {
    const wait = waitingStep.job.getStepWait(waitingStep.repetition, waitingStep.step);
    const part = this.findStartablePart(waitingStep, now);
    if (part.step === undefined) {
      wait.recordCause(part.cause, now);
      return false;
    }
    const { step } = part;
    const eligible = this.capacityView.listEligibleEndpoints(step);
    const hasCapacity = this.capacityView.hasCapacityForTask(step, eligible);
    if (hasCapacity && this.isWithoutTicket(step, now)) {
      const { adviceRequester } = this.options;
      wait.recordCause(adviceRequester.requestAdvice(step, eligible, step.indexes.length, now), now);
      return false;
    }
    const isScarce = this.capacityView.isCapacityScarce(step, eligible);
    if (!isScarce && !hasCapacity) {
      wait.recordCause('room', now);
      return false;
    }
    const placements = hasCapacity ? this.choosePlacements(step, eligible, now) : [];
    const missing = step.indexes.length - placements.length;
    const cause =
      missing === 0 ? 'room' : this.options.adviceRequester.requestAdvice(step, eligible, missing, now);
    if (isScarce && placements.length === 0) {
      this.startPreemption(step, eligible, now);
    }
    if (placements.length > 0) {
      this.placeTasks(step, placements, now);
      step.job.recordStepPlacement(
        step.repetition,
        step.step,
        now,
        placements.length < waitingStep.indexes.length,
      );
    }
    if (placements.length < waitingStep.indexes.length) {
      step.job.getStepWait(step.repetition, step.step).recordCause(missing > 0 ? cause : part.cause, now);
    }
    return placements.length > 0;
  }

  /**
   * Requests the tickets that the step will lack by the time of the response, without placing tasks. The capacity that the step would use stays
   * taken until `releaseTentativePlacements`, so that requests for less urgent steps are for the remaining capacity.
   */
  requestAdviceAhead(waitingStep: WaitingStep, now: number): void {
    const { step } = this.findStartablePart(waitingStep, now);
    if (step === undefined) {
      return;
    }
    const eligible = this.capacityView.listEligibleEndpoints(step);
    if (!this.capacityView.hasCapacityForTask(step, eligible)) {
      return;
    }
    const { adviceRequester } = this.options;
    const neededUntil = now + adviceRequester.estimateRequestToStartMs(step);
    const placements = this.choosePlacements(step, eligible, neededUntil);
    this.tentativePlacements.push(...placements);
    if (placements.length < step.indexes.length) {
      adviceRequester.requestAdvice(
        step,
        eligible,
        step.indexes.length - placements.length,
        now,
        neededUntil,
      );
    }
  }

  /** Requests advice, ahead of the placement order and within their share of the slots, for overdue steps that lack tickets and for which it is useful. */
  requestOverdueAdvice(waiting: readonly WaitingStep[], now: number): void {
    this.options.adviceRequester.sendOverdueRequest(waiting, now, (step) =>
      this.requestAdviceForOverdueStep(step, now),
    );
  }

  /** Releases all capacity taken by `requestAdviceAhead`. */
  releaseTentativePlacements(): void {
    this.tentativePlacements.splice(0).forEach((placement) => this.releasePlacement(placement));
  }

  /** Requests advice for an overdue step under the same conditions as `placeStep`, and places nothing. Returns what its tasks wait for. */
  private requestAdviceForOverdueStep(waitingStep: WaitingStep, now: number): WaitCause {
    const { step, cause: waitCause } = this.findStartablePart(waitingStep, now);
    if (step === undefined) {
      return waitCause;
    }
    const eligible = this.capacityView.listEligibleEndpoints(step);
    if (
      !this.capacityView.isCapacityScarce(step, eligible) &&
      !this.capacityView.hasCapacityForTask(step, eligible)
    ) {
      return 'room';
    }
    const placements = this.choosePlacements(step, eligible, now);
    const missing = step.indexes.length - placements.length;
    const cause =
      missing === 0
        ? 'room'
        : this.options.adviceRequester.requestAdvice(step, eligible, missing, now, now, 'overdue');
    placements.forEach((placement) => this.releasePlacement(placement));
    return cause;
  }

  /**
   * Returns the step with only the tasks that may be placed now, and why the others may not; without a step when that holds for all, or for a member
   * of a gang.
   */
  private findStartablePart(
    waitingStep: WaitingStep,
    now: number,
  ): { readonly step?: WaitingStep; readonly cause: WaitCause } {
    const due = this.computePartWithoutBackoff(waitingStep, now);
    if (due === undefined) {
      return { cause: 'pause' };
    }
    const limited = this.options.stepLimiter.computeStartablePart(due);
    if (limited === undefined) {
      return { cause: 'limit' };
    }
    const step = this.options.runBudget.computeStartablePart(limited);
    const cause = limited.indexes.length < due.indexes.length ? 'limit' : 'bound';
    return step === undefined ? { cause: 'bound' } : { step, cause };
  }

  /** Returns the step without the tasks in backoff; undefined when none is left, or when a gang wouldn't be complete. */
  private computePartWithoutBackoff(waitingStep: WaitingStep, now: number): WaitingStep | undefined {
    const { job, repetition, step } = waitingStep;
    if (!job.hasBackoff()) {
      return waitingStep;
    }
    const indexes = waitingStep.indexes.filter(
      (index) => !job.isBackingOff({ repetition, step, index }, now),
    );
    if (indexes.length === waitingStep.indexes.length) {
      return waitingStep;
    }
    return indexes.length === 0 || waitingStep.shape.isGang ? undefined : { ...waitingStep, indexes };
  }

  /** Returns whether the step needs advice and can have no ticket, so that none of its tasks can start now. */
  private isWithoutTicket(step: WaitingStep, now: number): boolean {
    return step.job.getQueue().advice !== undefined && !this.getStepAdvice(step).canHaveTicket(now);
  }

  /** Starts preemption on the eligible endpoints that have a ticket valid for long enough and aren't quarantined. */
  private startPreemption(step: WaitingStep, eligible: readonly EndpointState[], now: number): void {
    const { preemptor, quarantine } = this.options;
    if (!preemptor.canStartPreemption(step, now)) {
      return;
    }
    const candidate = { isInGang: step.shape.isGang, failureCount: 0 };
    const allowed = this.listAllowedEndpoints(
      step,
      eligible,
      now + preemptor.getMinTicketValidityMs(),
    ).filter((endpoint) => quarantine.canAcceptTask(candidate, endpoint, now));
    preemptor.startPreemption(step, allowed, now);
  }

  /**
   * Returns the eligible endpoints with a ticket that is valid until a monotonic time, or all of them when the queue needs no advice; if
   * `demand` is given, only those with free capacity for it.
   */
  private listAllowedEndpoints(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    until: number,
    demand?: TaskDemand,
  ): readonly EndpointState[] {
    if (step.job.getQueue().advice === undefined) {
      return demand === undefined ? eligible : eligible.filter((endpoint) => endpoint.hasCapacityFor(demand));
    }
    const advice = this.getStepAdvice(step);
    return advice.canHaveTicket(until)
      ? this.capacityView.listEligibleAmong(eligible, advice.listTicketedEndpoints(until), demand)
      : [];
  }

  /** Chooses endpoints for as many tasks as possible and takes capacity there. For a gang, chooses them for all members or none. */
  private choosePlacements(step: WaitingStep, eligible: readonly EndpointState[], now: number): Placement[] {
    const placements = this.chooseTaskPlacements(step, eligible, now);
    if (step.shape.isGang && placements.length < step.indexes.length) {
      placements.forEach((placement) => this.releasePlacement(placement));
      return [];
    }
    return placements;
  }

  /**
   * Chooses endpoints task by task and takes capacity there. Only fillers and restarts of long-running tasks get processor capacity of the
   * reserve. Stops at the first task without crashes that fits nowhere; a task with crashes that fits nowhere is skipped.
   */
  private chooseTaskPlacements(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    now: number,
  ): Placement[] {
    const placements: Placement[] = [];
    const advice = step.job.getQueue().advice === undefined ? undefined : this.getStepAdvice(step);
    if (!this.capacityView.hasUnreservedCpu(step)) {
      return placements;
    }
    let unreservedCpuMillis = this.capacityView.computeUnreservedCpuMillis(step);
    const demand = toReservedDemand(step.shape);
    // Within a round, an endpoint without free capacity for a task stays without.
    const allowed = this.listAllowedEndpoints(step, eligible, now, demand);
    if (allowed.length === 0) {
      return placements;
    }
    const runNumber = step.shape.isGang ? this.computeNextGangRun(step) : 0;
    const computePreferenceCost = this.options.preference.createCostFunction(step, allowed);
    for (const { address, task, isSuspect } of this.listStartableTasks(step, now)) {
      const isInReserve = step.shape.demand.cpuMillis > unreservedCpuMillis && !step.shape.isFiller;
      if (isInReserve && !isLongRunningRestart(step.shape, task)) {
        continue;
      }
      const crashCount = task.crashes.length + task.unconfirmedCrashes.length;
      const candidate = {
        isSuspect,
        crashCount,
        isInGang: step.shape.isGang,
        failureCount: task.failureCount,
      };
      const endpoint = this.chooseEndpoint(step, allowed, candidate, computePreferenceCost, now);
      if (endpoint === undefined && crashCount > 0) {
        // A task with crashes must not be placed beside a crash suspect in its startup; tasks without crashes may still fit.
        continue;
      }
      if (endpoint === undefined) {
        break;
      }
      const nextRun = step.shape.isGang ? runNumber : task.runNumber + 1;
      const isFromStart = task.checkpoint === '';
      const run = createPlacedRun(step.job.definition, address, nextRun, now, {
        queue: step.job.getQueue(),
        isFromStart,
        isCrashSuspect: isSuspect,
      });
      endpoint.addRun(run);
      this.capacityView.clearFreeCapacityCache();
      unreservedCpuMillis -= step.shape.demand.cpuMillis;
      placements.push({
        endpoint,
        run,
        ticket: advice?.getTicket(endpoint.getProfile().incarnation, now) ?? '',
      });
    }
    return placements;
  }

  /** Returns the waiting tasks of a step that may start now. Of the crash suspects only as many as may start now are included. */
  private listStartableTasks(step: WaitingStep, now: number): readonly StartableTask[] {
    const startable = step.indexes.flatMap((index): readonly StartableTask[] => {
      const address = { repetition: step.repetition, step: step.step, index };
      const task = step.job.progress.getTask(address);
      return task === undefined ? [] : [{ address, task, isSuspect: isCrashSuspect(task) }];
    });
    const suspects = startable.filter(({ isSuspect }) => isSuspect);
    if (suspects.length === 0) {
      return startable;
    }
    const suspectCount = this.options.suspectCosts.countStartableSuspects(step, now);
    const nextSuspects = new Set(suspects.slice(0, suspectCount));
    return startable.filter((startableTask) => !startableTask.isSuspect || nextSuspects.has(startableTask));
  }

  /** Returns the endpoint with the lowest total cost on which the task may start; undefined when there is none. */
  private chooseEndpoint(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    candidate: Parameters<SuspectCosts['computeSuspectCost']>[1] &
      Parameters<EndpointQuarantine['canAcceptTask']>[0],
    computePreferenceCost: (endpoint: EndpointState) => number,
    now: number,
  ): EndpointState | undefined {
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const rule = rankingRules[shape.isFiller ? 'filler' : shape.isLongRunning ? 'serving' : 'batch'];
    let best: EndpointState | undefined;
    let bestCost = Infinity;
    for (const endpoint of allowed) {
      if (!endpoint.hasCapacityFor(demand) || this.capacityView.hasMaxTasksOfStep(step, endpoint)) {
        continue;
      }
      if (!this.options.quarantine.canAcceptTask(candidate, endpoint, now)) {
        continue;
      }
      const suspectCost = this.options.suspectCosts.computeSuspectCost(step, candidate, endpoint, now);
      const cost = rule.computeCost(step, endpoint, now) + computePreferenceCost(endpoint) + suspectCost;
      if (cost < bestCost) {
        bestCost = cost;
        best = endpoint;
      }
    }
    return best;
  }

  /** Returns the run number that all members of a gang start with: one more than the highest of any member. */
  private computeNextGangRun({ job, repetition, step }: WaitingStep): number {
    return (
      1 +
      job.progress.listTasks(repetition, step).reduce((newest, task) => Math.max(newest, task.runNumber), 0)
    );
  }

  private getStepAdvice({ job, repetition, step }: WaitingStep): ReturnType<LiveJob['getStepAdvice']> {
    return job.getStepAdvice(repetition, step);
  }

  private releasePlacement({ endpoint, run }: Placement): void {
    endpoint.removeRun(run);
    this.capacityView.clearFreeCapacityCache();
  }

  /**
   * Records the placements in the progress of the job, sends the start commands and a log line, and releases the reservations of the
   * step.
   */
  private placeTasks(step: WaitingStep, placements: readonly Placement[], now: number): void {
    const { job, shape } = step;
    const { progress, definition } = job;
    const gangCheckpoint = shape.isGang ? this.getGangCheckpoint(step) : '';
    const waits = job.getStepWait(step.repetition, step.step).getWaitTimes(now);
    this.options.reservations.releaseStepReservations(step);
    this.options.runBudget.recordPlacements(definition.id, placements.length);
    const placed = placements.map(({ endpoint: state, run, ticket }) => {
      const { address, task } = run;
      const endpoint = state.getProfile().incarnation;
      const checkpoint = shape.isGang ? gangCheckpoint : progress.getTask(address)!.checkpoint;
      progress.recordRunPlaced(address, run.run, endpoint);
      run.waitTimes = waits;
      const command = { task, run: run.run, spec: definition.spec, checkpoint, ticket };
      this.options.adviceRequester.recordTicketUse(step, endpoint);
      this.options.sendEffect({ kind: 'start', job: definition.id, endpoint, command, waits });
      return {
        task,
        run: run.run,
        endpoint,
        freeCpuMillis: state.getFreeCapacity().cpuMillis,
        failureRate: Number(state.computeRunFailureRate(now).toFixed(2)),
      };
    });
    this.options.sendEffect({
      kind: 'tell',
      message: 'Tasks placed.',
      fields: {
        job: definition.id,
        step: toStepName(step),
        queue: job.getQueue().name,
        service: job.getQueue().service,
        waits: toRoundedWaitTimes(waits),
        placed,
      },
    });
  }

  /**
   * Returns the checkpoint that all members of a gang start from: the newest that a member left under this leader, else one recorded in the
   * progress; '' for none. The checkpoint of any member is valid for all.
   */
  private getGangCheckpoint({ job, repetition, step }: WaitingStep): string {
    const saved = job.progress.listTasks(repetition, step).find((task) => task.checkpoint !== '');
    return job.getGangCheckpoint(repetition, step) ?? saved?.checkpoint ?? '';
  }
}
