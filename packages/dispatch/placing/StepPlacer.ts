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

interface Choice {
  readonly book: EndpointState;
  readonly run: PlacedRun;
  readonly ticket: string;
}

/** A task that may begin now. */
interface Beginner {
  readonly address: TaskAddress;
  readonly task: TaskProgress;
  /** It may have ended an endpoint. */
  readonly isSuspect: boolean;
}

type PlacerEffect = Extract<DispatchEffect, { kind: 'start' | 'tell' }>;

interface StepPlacerOptions {
  readonly room: CapacityView;
  readonly limits: StepLimiter;
  readonly questions: AdviceRequester;
  readonly preemptor: Preemptor;
  readonly reservations: EndpointReservations;
  readonly preference: EndpointPreference;
  readonly suspicion: SuspectCosts;
  readonly trust: EndpointQuarantine;
  readonly sendEffect: (effect: PlacerEffect) => void;
}

/** Chooses endpoints for waiting tasks and books them; asks for advice where a queue needs it. */
export class StepPlacer {
  private readonly room: CapacityView;
  /** Booked only to work out what to ask ahead. */
  private readonly booked: Choice[] = [];

  constructor(private readonly options: StepPlacerOptions) {
    this.room = options.room;
  }

  /** Places what can be placed of a step; returns whether anything was. */
  placeStep(whole: WaitingStep, now: number): boolean {
    const wait = whole.job.readWait(whole.time, whole.step);
    const due = this.readDue(whole, now);
    if (due === undefined) {
      wait.recordCause('pause', now);
      return false;
    }
    const step = this.options.limits.computeStartable(due);
    if (step === undefined) {
      wait.recordCause('limit', now);
      return false;
    }
    const eligible = this.room.listEligible(step);
    const isShortOfRoom = this.room.isCapacityScarce(step, eligible);
    if (!isShortOfRoom && !this.room.hasAnyRoom(step, eligible)) {
      wait.recordCause('room', now);
      return false;
    }
    const choices = this.chooseEndpoints(step, eligible, now);
    const missing = step.indexes.length - choices.length;
    const cause = missing === 0 ? 'room' : this.options.questions.requestAdvice(step, eligible, missing, now);
    if (isShortOfRoom && choices.length === 0) {
      this.startMakingRoom(step, eligible, now);
    }
    if (choices.length > 0) {
      this.placeChoices(step, choices, now);
      step.job.recordPlaced(step.time, step.step, now, choices.length < whole.indexes.length);
    }
    if (choices.length < whole.indexes.length) {
      step.job.readWait(step.time, step.step).recordCause(missing > 0 ? cause : 'limit', now);
    }
    return choices.length > 0;
  }

  /**
   * Asks for the tickets that the step lacks for starting later, and that will have run out once an answer could be there. Books
   * what it would take until `revokeBooked`, so that less urgent steps are asked about for the room that is left.
   */
  requestAdviceAhead(whole: WaitingStep, now: number): void {
    const due = this.readDue(whole, now);
    const step = due === undefined ? undefined : this.options.limits.computeStartable(due);
    if (step === undefined) {
      return;
    }
    const eligible = this.room.listEligible(step);
    if (!this.room.hasAnyRoom(step, eligible)) {
      return;
    }
    const { questions } = this.options;
    const neededUntil = now + questions.estimateResponseMs(step);
    const choices = this.chooseEndpoints(step, eligible, neededUntil);
    this.booked.push(...choices);
    if (choices.length < step.indexes.length) {
      questions.requestAdvice(step, eligible, step.indexes.length - choices.length, now, neededUntil);
    }
  }

  /** Gives back what was booked for questions asked ahead. */
  releaseTentative(): void {
    this.booked.splice(0).forEach((choice) => this.revokeChoice(choice));
  }

  /** The tasks of a step that need not pause; undefined when there is none, or when a gang would not be whole. */
  private readDue(whole: WaitingStep, now: number): WaitingStep | undefined {
    const { job, time, step } = whole;
    const indexes = whole.indexes.filter((index) => !job.isPaused({ time, step, index }, now));
    if (indexes.length === whole.indexes.length) {
      return whole;
    }
    return indexes.length === 0 || whole.shape.isGang ? undefined : { ...whole, indexes };
  }

  private startMakingRoom(step: WaitingStep, eligible: readonly EndpointState[], now: number): void {
    const { preemptor, trust } = this.options;
    const candidate = { isGang: step.shape.isGang, failures: 0 };
    const allowed = this.readAllowed(step, eligible, now + preemptor.readTicketMs()).filter((book) =>
      trust.isOpenFor(candidate, book, now),
    );
    preemptor.startMakingRoom(step, allowed, now);
  }

  /** Endpoints for which no ticket is needed, or one holds until a time. */
  private readAllowed(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    until: number,
  ): readonly EndpointState[] {
    if (step.job.definition.queue.advice === undefined) {
      return eligible;
    }
    const advice = this.readAdviceBook(step);
    return eligible.filter((book) => advice.getTicket(book.getProfile().incarnation, until) !== undefined);
  }

  /** Books an endpoint for each task that finds one; for a gang for all or none. */
  private chooseEndpoints(step: WaitingStep, eligible: readonly EndpointState[], now: number): Choice[] {
    const choices = this.chooseSeparately(step, eligible, now);
    if (step.shape.isGang && choices.length < step.indexes.length) {
      choices.forEach((choice) => this.revokeChoice(choice));
      return [];
    }
    return choices;
  }

  private chooseSeparately(step: WaitingStep, eligible: readonly EndpointState[], now: number): Choice[] {
    const choices: Choice[] = [];
    const advice = step.job.definition.queue.advice === undefined ? undefined : this.readAdviceBook(step);
    const allowed = this.readAllowed(step, eligible, now);
    if (allowed.length === 0) {
      return choices;
    }
    let reserveLeft = this.room.readReserveLeft(step);
    const runNumber = this.readNextRun(step);
    const readCost = this.options.preference.createCostFunction(step, allowed);
    for (const { address, task, isSuspect } of this.readBeginners(step)) {
      if (step.shape.demand.cpuMillis > reserveLeft && !step.shape.isFiller) {
        break;
      }
      const candidate = {
        isSuspect,
        crashes: task.crashes.length,
        isGang: step.shape.isGang,
        failures: task.failures,
      };
      const book = this.chooseEndpoint(step, allowed, candidate, readCost, now);
      if (book === undefined && task.crashes.length > 0) {
        // Its siblings need not wait until another task under suspicion is proven.
        continue;
      }
      if (book === undefined) {
        break;
      }
      const nextRun = step.shape.isGang ? runNumber : task.run + 1;
      const isFromStart = task.checkpoint === '';
      const run = createPlacedRun(step.job.definition, address, nextRun, now, {
        isFromStart,
        isCrashSuspect: isSuspect,
      });
      book.addRun(run);
      reserveLeft -= step.shape.demand.cpuMillis;
      choices.push({ book, run, ticket: advice?.getTicket(book.getProfile().incarnation, now) ?? '' });
    }
    return choices;
  }

  /** Tasks of a step that may begin now: of those under suspicion one at a time, but members of a gang together. */
  private readBeginners(step: WaitingStep): readonly Beginner[] {
    const beginners = step.indexes.flatMap((index): readonly Beginner[] => {
      const address = { time: step.time, step: step.step, index };
      const task = step.job.progress.getTask(address);
      return task === undefined ? [] : [{ address, task, isSuspect: isCrashSuspect(task.crashes) }];
    });
    const firstSuspect = beginners.find(({ isSuspect }) => isSuspect);
    if (firstSuspect === undefined || step.shape.isGang) {
      return beginners;
    }
    const mayBegin = this.options.suspicion.hasSiblingOnProbation(step) ? undefined : firstSuspect;
    return beginners.filter((beginner) => !beginner.isSuspect || beginner === mayBegin);
  }

  private chooseEndpoint(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    candidate: Parameters<SuspectCosts['measureCost']>[1] & Parameters<EndpointQuarantine['isOpenFor']>[0],
    readCost: (book: EndpointState) => number,
    now: number,
  ): EndpointState | undefined {
    const { shape } = step;
    const demand = toReservedDemand(shape);
    const rules = rankingRules[shape.isFiller ? 'filler' : shape.isLongRunning ? 'serving' : 'batch'];
    let best: EndpointState | undefined;
    let bestFit = Infinity;
    for (const book of allowed) {
      if (!book.hasCapacityFor(demand) || this.room.hasMaxTasks(step, book)) {
        continue;
      }
      if (!this.options.trust.isOpenFor(candidate, book, now)) {
        continue;
      }
      const suspicion = this.options.suspicion.measureCost(step, candidate, book, now);
      const fit = rules.measureFit(step, book, now) + readCost(book) + suspicion;
      if (fit < bestFit) {
        bestFit = fit;
        best = book;
      }
    }
    return best;
  }

  /** Members of a gang share one run number, above all that were used. */
  private readNextRun({ job, time, step }: WaitingStep): number {
    return 1 + Math.max(0, ...job.progress.listTasks(time, step).map((task) => task.run));
  }

  private readAdviceBook({ job, time, step }: WaitingStep): ReturnType<LiveJob['getAdvice']> {
    return job.getAdvice(time, step);
  }

  private revokeChoice({ book, run }: Choice): void {
    book.removeRun(run);
  }

  private placeChoices(step: WaitingStep, choices: readonly Choice[], now: number): void {
    const { job, shape } = step;
    const { progress, definition } = job;
    const gangCheckpoint = shape.isGang ? this.readGangCheckpoint(step) : '';
    const waits = job.readWait(step.time, step.step).readTimes(now);
    this.options.reservations.revokeFor(step);
    const rows = choices.map(({ book, run, ticket }) => {
      const { address, task } = run;
      const endpoint = book.getProfile().incarnation;
      const checkpoint = shape.isGang ? gangCheckpoint : progress.getTask(address)!.checkpoint;
      progress.recordPlaced(address, run.run, endpoint);
      run.waits = waits;
      const order = { task, run: run.run, spec: definition.spec, checkpoint, ticket };
      this.options.questions.recordTicketUse(step, endpoint);
      this.options.sendEffect({ kind: 'start', job: definition.id, endpoint, command: order, waits });
      return {
        task,
        run: run.run,
        endpoint,
        freeCpuMillis: book.getFreeCapacity().cpuMillis,
        failureRate: Number(book.computeFailureRate(now).toFixed(2)),
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
        placed: rows,
      },
    });
  }

  /** The saved text of any member is good for all, and all must carry the same one. */
  private readGangCheckpoint({ job, time, step }: WaitingStep): string {
    const saved = job.progress.listTasks(time, step).find((task) => task.checkpoint !== '');
    return job.getGangCheckpoint(time, step) ?? saved?.checkpoint ?? '';
  }
}
