import { toCountedDemand } from '../../jobs/toCountedDemand';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskProgress } from '../../jobs/TaskProgress';
import { createPlacedRun } from '../runs/createPlacedRun';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceQuestions } from '../advice/AdviceQuestions';
import type { EndpointBook } from '../endpoints/EndpointBook';
import type { LimitView } from './LimitView';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from '../runs/PlacedRun';
import type { Preemptor } from './Preemptor';
import { rankingRules } from './rankingRules';
import type { RoomReservations } from './RoomReservations';
import type { RoomView } from './RoomView';
import { isUnderSuspicion } from '../crashes/isUnderSuspicion';
import type { SuspicionCosts } from './SuspicionCosts';
import type { EndpointTrust } from '../stops/EndpointTrust';
import type { EndpointPreference } from './EndpointPreference';
import { toRoundedTimes } from '../waiting/toRoundedTimes';
import { toStepName } from '../waiting/toStepName';
import type { WaitingStep } from '../waiting/WaitingStep';

interface Choice {
  readonly book: EndpointBook;
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
  readonly room: RoomView;
  readonly limits: LimitView;
  readonly questions: AdviceQuestions;
  readonly preemptor: Preemptor;
  readonly reservations: RoomReservations;
  readonly preference: EndpointPreference;
  readonly suspicion: SuspicionCosts;
  readonly trust: EndpointTrust;
  readonly sendEffect: (effect: PlacerEffect) => void;
}

/** Chooses endpoints for waiting tasks and books them; asks for advice where a queue needs it. */
export class StepPlacer {
  private readonly room: RoomView;
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
    const step = this.options.limits.readStartable(due);
    if (step === undefined) {
      wait.recordCause('limit', now);
      return false;
    }
    const eligible = this.room.readEligible(step);
    const isShortOfRoom = this.room.isShortOfRoom(step, eligible);
    if (!isShortOfRoom && !this.room.hasAnyRoom(step, eligible)) {
      wait.recordCause('room', now);
      return false;
    }
    const choices = this.chooseEndpoints(step, eligible, now);
    const missing = step.indexes.length - choices.length;
    const cause = missing === 0 ? 'room' : this.options.questions.sendQuestion(step, eligible, missing, now);
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
  sendQuestionAhead(whole: WaitingStep, now: number): void {
    const due = this.readDue(whole, now);
    const step = due === undefined ? undefined : this.options.limits.readStartable(due);
    if (step === undefined) {
      return;
    }
    const eligible = this.room.readEligible(step);
    if (!this.room.hasAnyRoom(step, eligible)) {
      return;
    }
    const { questions } = this.options;
    const neededUntil = now + questions.readAnswerMs(step);
    const choices = this.chooseEndpoints(step, eligible, neededUntil);
    this.booked.push(...choices);
    if (choices.length < step.indexes.length) {
      questions.sendQuestion(step, eligible, step.indexes.length - choices.length, now, neededUntil);
    }
  }

  /** Gives back what was booked for questions asked ahead. */
  revokeBooked(): void {
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

  private startMakingRoom(step: WaitingStep, eligible: readonly EndpointBook[], now: number): void {
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
    eligible: readonly EndpointBook[],
    until: number,
  ): readonly EndpointBook[] {
    if (step.job.definition.queue.advice === undefined) {
      return eligible;
    }
    const advice = this.readAdviceBook(step);
    return eligible.filter((book) => advice.readTicket(book.readProfile().life, until) !== undefined);
  }

  /** Books an endpoint for each task that finds one; for a gang for all or none. */
  private chooseEndpoints(step: WaitingStep, eligible: readonly EndpointBook[], now: number): Choice[] {
    const choices = this.chooseSeparately(step, eligible, now);
    if (step.shape.isGang && choices.length < step.indexes.length) {
      choices.forEach((choice) => this.revokeChoice(choice));
      return [];
    }
    return choices;
  }

  private chooseSeparately(step: WaitingStep, eligible: readonly EndpointBook[], now: number): Choice[] {
    const choices: Choice[] = [];
    const advice = step.job.definition.queue.advice === undefined ? undefined : this.readAdviceBook(step);
    const allowed = this.readAllowed(step, eligible, now);
    if (allowed.length === 0) {
      return choices;
    }
    let reserveLeft = this.room.readReserveLeft(step);
    const runNumber = this.readNextRun(step);
    const readCost = this.options.preference.createCostOf(step, allowed);
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
      const run = createPlacedRun(step.job.definition, address, nextRun, now, { isFromStart, isSuspect });
      book.recordRun(run);
      reserveLeft -= step.shape.demand.cpuMillis;
      choices.push({ book, run, ticket: advice?.readTicket(book.readProfile().life, now) ?? '' });
    }
    return choices;
  }

  /** Tasks of a step that may begin now: of those under suspicion one at a time, but members of a gang together. */
  private readBeginners(step: WaitingStep): readonly Beginner[] {
    const beginners = step.indexes.flatMap((index): readonly Beginner[] => {
      const address = { time: step.time, step: step.step, index };
      const task = step.job.progress.readTask(address);
      return task === undefined ? [] : [{ address, task, isSuspect: isUnderSuspicion(task.crashes) }];
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
    allowed: readonly EndpointBook[],
    candidate: Parameters<SuspicionCosts['measureCost']>[1] & Parameters<EndpointTrust['isOpenFor']>[0],
    readCost: (book: EndpointBook) => number,
    now: number,
  ): EndpointBook | undefined {
    const { shape } = step;
    const demand = toCountedDemand(shape);
    const rules = rankingRules[shape.isFiller ? 'filler' : shape.isLongRunning ? 'serving' : 'batch'];
    let best: EndpointBook | undefined;
    let bestFit = Infinity;
    for (const book of allowed) {
      if (!book.hasRoom(demand) || this.room.isCrowded(step, book)) {
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
    return 1 + Math.max(0, ...job.progress.readTasks(time, step).map((task) => task.run));
  }

  private readAdviceBook({ job, time, step }: WaitingStep): ReturnType<LiveJob['readAdvice']> {
    return job.readAdvice(time, step);
  }

  private revokeChoice({ book, run }: Choice): void {
    book.recordRunEnd(run);
  }

  private placeChoices(step: WaitingStep, choices: readonly Choice[], now: number): void {
    const { job, shape } = step;
    const { progress, definition } = job;
    const gangCheckpoint = shape.isGang ? this.readGangCheckpoint(step) : '';
    const waits = job.readWait(step.time, step.step).readTimes(now);
    this.options.reservations.revokeFor(step);
    const rows = choices.map(({ book, run, ticket }) => {
      const { address, task } = run;
      const endpoint = book.readProfile().life;
      const checkpoint = shape.isGang ? gangCheckpoint : progress.readTask(address)!.checkpoint;
      progress.recordPlaced(address, run.run, endpoint);
      run.waits = waits;
      const order = { task, run: run.run, spec: definition.spec, checkpoint, ticket };
      this.options.questions.recordUse(step, endpoint);
      this.options.sendEffect({ kind: 'start', job: definition.id, endpoint, order, waits });
      return {
        task,
        run: run.run,
        endpoint,
        freeCpuMillis: book.readFree().cpuMillis,
        failureRate: Number(book.readFailureRate(now).toFixed(2)),
      };
    });
    this.options.sendEffect({
      kind: 'tell',
      sentence: 'Tasks placed.',
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
    const saved = job.progress.readTasks(time, step).find((task) => task.checkpoint !== '');
    return job.readGangSave(time, step) ?? saved?.checkpoint ?? '';
  }
}
