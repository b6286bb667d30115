import { toReservedDemand } from '../../jobs/toReservedDemand';
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
import type { CapacityView } from './CapacityView';
import { isCrashSuspect } from '../crashes/isCrashSuspect';
import type { SuspectCosts } from './SuspectCosts';
import type { EndpointQuarantine } from '../stops/EndpointQuarantine';
import type { EndpointPreference } from './EndpointPreference';
import { toRoundedTimes } from '../waiting/toRoundedTimes';
import { toStepName } from '../waiting/toStepName';
import type { WaitingStep } from '../waiting/WaitingStep';

interface Placement {
  readonly endpoint: EndpointState;
  readonly run: PlacedRun;
  readonly ticket: string;
}

/** A task that may start now. */
interface StartableTask {
  readonly address: TaskAddress;
  readonly task: TaskProgress;
  /** It may have crashed an endpoint. */
  readonly isSuspect: boolean;
}

type PlacementEffect = Extract<DispatchEffect, { kind: 'start' | 'tell' }>;

interface StepPlacerOptions {
  readonly capacity: CapacityView;
  readonly limiter: StepLimiter;
  readonly advice: AdviceRequester;
  readonly preemptor: Preemptor;
  readonly reservations: EndpointReservations;
  readonly preference: EndpointPreference;
  readonly suspectCosts: SuspectCosts;
  readonly quarantine: EndpointQuarantine;
  readonly sendEffect: (effect: PlacementEffect) => void;
}

/** Places waiting tasks on endpoints, and requests advice for queues that need it. */
export class StepPlacer {
  private readonly capacity: CapacityView;
  /** Placements that hold capacity only while advice is requested ahead. */
  private readonly tentative: Placement[] = [];

  constructor(private readonly options: StepPlacerOptions) {
    this.capacity = options.capacity;
  }

  /** Places as many tasks of a step as possible. Returns whether any was placed. */
  placeStep(waitingStep: WaitingStep, now: number): boolean {
    const wait = waitingStep.job.getWait(waitingStep.repetition, waitingStep.step);
    const due = this.computeDueStep(waitingStep, now);
    if (due === undefined) {
      wait.recordCause('pause', now);
      return false;
    }
    const step = this.options.limiter.computeStartable(due);
    if (step === undefined) {
      wait.recordCause('limit', now);
      return false;
    }
    const eligible = this.capacity.listEligible(step);
    const isScarce = this.capacity.isCapacityScarce(step, eligible);
    if (!isScarce && !this.capacity.hasAnyCapacity(step, eligible)) {
      wait.recordCause('room', now);
      return false;
    }
    const placements = this.choosePlacements(step, eligible, now);
    const missing = step.indexes.length - placements.length;
    const cause = missing === 0 ? 'room' : this.options.advice.requestAdvice(step, eligible, missing, now);
    if (isScarce && placements.length === 0) {
      this.startPreemption(step, eligible, now);
    }
    if (placements.length > 0) {
      this.placeTasks(step, placements, now);
      step.job.recordPlacement(
        step.repetition,
        step.step,
        now,
        placements.length < waitingStep.indexes.length,
      );
    }
    if (placements.length < waitingStep.indexes.length) {
      step.job.getWait(step.repetition, step.step).recordCause(missing > 0 ? cause : 'limit', now);
    }
    return placements.length > 0;
  }

  /**
   * Requests tickets that the step will lack by the time a response could arrive. What it would use is held until
   * `releaseTentative`, so that requests for less urgent steps are about the remaining capacity.
   */
  requestAdviceAhead(waitingStep: WaitingStep, now: number): void {
    const due = this.computeDueStep(waitingStep, now);
    const step = due === undefined ? undefined : this.options.limiter.computeStartable(due);
    if (step === undefined) {
      return;
    }
    const eligible = this.capacity.listEligible(step);
    if (!this.capacity.hasAnyCapacity(step, eligible)) {
      return;
    }
    const { advice } = this.options;
    const neededUntil = now + advice.estimateResponseMs(step);
    const placements = this.choosePlacements(step, eligible, neededUntil);
    this.tentative.push(...placements);
    if (placements.length < step.indexes.length) {
      advice.requestAdvice(step, eligible, step.indexes.length - placements.length, now, neededUntil);
    }
  }

  /** Releases the capacity held by `requestAdviceAhead`. */
  releaseTentative(): void {
    this.tentative.splice(0).forEach((placement) => this.releasePlacement(placement));
  }

  /** Returns the step without the tasks in backoff; undefined when none is left, or when a gang wouldn't be complete. */
  private computeDueStep(waitingStep: WaitingStep, now: number): WaitingStep | undefined {
    const { job, repetition: time, step } = waitingStep;
    const indexes = waitingStep.indexes.filter(
      (index) => !job.isBackingOff({ repetition: time, step, index }, now),
    );
    if (indexes.length === waitingStep.indexes.length) {
      return waitingStep;
    }
    return indexes.length === 0 || waitingStep.shape.isGang ? undefined : { ...waitingStep, indexes };
  }

  private startPreemption(step: WaitingStep, eligible: readonly EndpointState[], now: number): void {
    const { preemptor, quarantine } = this.options;
    const candidate = { isGang: step.shape.isGang, failures: 0 };
    const allowed = this.listAllowed(step, eligible, now + preemptor.getMinTicketMs()).filter((endpoint) =>
      quarantine.canAccept(candidate, endpoint, now),
    );
    preemptor.startPreemption(step, allowed, now);
  }

  /** Returns the endpoints that have a ticket valid until a time, or all when the queue needs none. */
  private listAllowed(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    until: number,
  ): readonly EndpointState[] {
    if (step.job.definition.queue.advice === undefined) {
      return eligible;
    }
    const advice = this.getAdvice(step);
    return eligible.filter(
      (endpoint) => advice.getTicket(endpoint.getProfile().incarnation, until) !== undefined,
    );
  }

  /** Chooses endpoints for as many tasks as possible and takes their capacity; for all members of a gang or none. */
  private choosePlacements(step: WaitingStep, eligible: readonly EndpointState[], now: number): Placement[] {
    const placements = this.chooseTaskPlacements(step, eligible, now);
    if (step.shape.isGang && placements.length < step.indexes.length) {
      placements.forEach((placement) => this.releasePlacement(placement));
      return [];
    }
    return placements;
  }

  private chooseTaskPlacements(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    now: number,
  ): Placement[] {
    const placements: Placement[] = [];
    const advice = step.job.definition.queue.advice === undefined ? undefined : this.getAdvice(step);
    const allowed = this.listAllowed(step, eligible, now);
    if (allowed.length === 0) {
      return placements;
    }
    let unreservedCpuMillis = this.capacity.computeUnreservedCpuMillis(step);
    const runNumber = this.computeNextRun(step);
    const computePreferenceCost = this.options.preference.createCostFunction(step, allowed);
    for (const { address, task, isSuspect } of this.listStartableTasks(step)) {
      if (step.shape.demand.cpuMillis > unreservedCpuMillis && !step.shape.isFiller) {
        break;
      }
      const candidate = {
        isSuspect,
        crashes: task.crashes.length,
        isGang: step.shape.isGang,
        failures: task.failures,
      };
      const endpoint = this.chooseEndpoint(step, allowed, candidate, computePreferenceCost, now);
      if (endpoint === undefined && task.crashes.length > 0) {
        // Only this task has to avoid starting suspects; its siblings may find an endpoint.
        continue;
      }
      if (endpoint === undefined) {
        break;
      }
      const nextRun = step.shape.isGang ? runNumber : task.run + 1;
      const isFromStart = task.checkpoint === '';
      const run = createPlacedRun(step.job.definition, address, nextRun, now, {
        isFromStart,
        isCrashSuspect: isSuspect,
      });
      endpoint.addRun(run);
      unreservedCpuMillis -= step.shape.demand.cpuMillis;
      placements.push({
        endpoint,
        run,
        ticket: advice?.getTicket(endpoint.getProfile().incarnation, now) ?? '',
      });
    }
    return placements;
  }

  /** Returns the tasks of a step that may start now: at most one crash suspect, but all members of a gang. */
  private listStartableTasks(step: WaitingStep): readonly StartableTask[] {
    const startable = step.indexes.flatMap((index): readonly StartableTask[] => {
      const address = { repetition: step.repetition, step: step.step, index };
      const task = step.job.progress.getTask(address);
      return task === undefined ? [] : [{ address, task, isSuspect: isCrashSuspect(task.crashes) }];
    });
    const firstSuspect = startable.find(({ isSuspect }) => isSuspect);
    if (firstSuspect === undefined || step.shape.isGang) {
      return startable;
    }
    const nextSuspect = this.options.suspectCosts.hasStartingSibling(step) ? undefined : firstSuspect;
    return startable.filter((startableTask) => !startableTask.isSuspect || startableTask === nextSuspect);
  }

  private chooseEndpoint(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    candidate: Parameters<SuspectCosts['computeCost']>[1] & Parameters<EndpointQuarantine['canAccept']>[0],
    computePreferenceCost: (endpoint: EndpointState) => number,
    now: number,
  ): EndpointState | undefined {
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const rule = rankingRules[shape.isFiller ? 'filler' : shape.isLongRunning ? 'serving' : 'batch'];
    let best: EndpointState | undefined;
    let bestCost = Infinity;
    for (const endpoint of allowed) {
      if (!endpoint.hasCapacityFor(demand) || this.capacity.hasMaxTasks(step, endpoint)) {
        continue;
      }
      if (!this.options.quarantine.canAccept(candidate, endpoint, now)) {
        continue;
      }
      const suspectCost = this.options.suspectCosts.computeCost(step, candidate, endpoint, now);
      const cost = rule.computeCost(step, endpoint, now) + computePreferenceCost(endpoint) + suspectCost;
      if (cost < bestCost) {
        bestCost = cost;
        best = endpoint;
      }
    }
    return best;
  }

  /** Returns the run number for all members of a gang: one above the highest used. */
  private computeNextRun({ job, repetition: time, step }: WaitingStep): number {
    return 1 + Math.max(0, ...job.progress.listTasks(time, step).map((task) => task.run));
  }

  private getAdvice({ job, repetition: time, step }: WaitingStep): ReturnType<LiveJob['getAdvice']> {
    return job.getAdvice(time, step);
  }

  private releasePlacement({ endpoint, run }: Placement): void {
    endpoint.removeRun(run);
  }

  private placeTasks(step: WaitingStep, placements: readonly Placement[], now: number): void {
    const { job, shape } = step;
    const { progress, definition } = job;
    const gangCheckpoint = shape.isGang ? this.getGangCheckpoint(step) : '';
    const waits = job.getWait(step.repetition, step.step).getTimes(now);
    this.options.reservations.releaseReservations(step);
    const placed = placements.map(({ endpoint: state, run, ticket }) => {
      const { address, task } = run;
      const endpoint = state.getProfile().incarnation;
      const checkpoint = shape.isGang ? gangCheckpoint : progress.getTask(address)!.checkpoint;
      progress.recordPlaced(address, run.run, endpoint);
      run.waits = waits;
      const command = { task, run: run.run, spec: definition.spec, checkpoint, ticket };
      this.options.advice.recordTicketUse(step, endpoint);
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
        queue: definition.queue.name,
        waits: toRoundedTimes(waits),
        placed,
      },
    });
  }

  /** Returns the checkpoint that all members of a gang start from; '' for none. The checkpoint of any member is valid for all. */
  private getGangCheckpoint({ job, repetition: time, step }: WaitingStep): string {
    const saved = job.progress.listTasks(time, step).find((task) => task.checkpoint !== '');
    return job.getGangCheckpoint(time, step) ?? saved?.checkpoint ?? '';
  }
}
