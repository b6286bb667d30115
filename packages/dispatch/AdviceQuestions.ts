import type { EndpointId } from '../jobs/EndpointId';
import type { JobStep } from '../jobs/JobStep';
import { toTaskName } from '../jobs/toTaskName';
import type { AdviceTurns } from './AdviceTurns';
import { demandSums } from './demandSums';
import type { DispatchEffect } from './DispatchEffect';
import type { EndpointBook } from './EndpointBook';
import type { LiveJob } from './LiveJob';
import type { PlacedRun } from './PlacedRun';
import type { Preemptor } from './Preemptor';
import type { RoomView } from './RoomView';
import type { WaitingStep } from './WaitingStep';

/** Endpoints named in one question; so many are counted in a job's objective. */
const MAX_NAMED = 30;
const ASK_AGAIN_MS = 120;
/** A question for a later step is sent so long before it is expected to be ready, beyond the question's own time. */
const EARLY_MARGIN_MS = 150;
/** Questions longer than this are long ones. */
const LONG_QUESTION_MS = 150;
/** Percent below which a run's speed is not known. */
const KNOWN_SPEED_PERCENT = 5;

/** Decides when to ask the advice service, and about which endpoints. */
export class AdviceQuestions {
  private turns: AdviceTurns = { all: 0, long: 0 };

  constructor(
    private readonly books: ReadonlyMap<EndpointId, EndpointBook>,
    private readonly room: RoomView,
    private readonly preemptor: Preemptor,
    private readonly sendEffect: (effect: Extract<DispatchEffect, { kind: 'advise' }>) => void,
  ) {}

  /**
   * Sets how many questions this round may ask. What finds no turn is asked in a later round if it still has to be, in the order
   * of placement: a queue of questions would grow old, and be worked through although its steps had been served.
   */
  startRound(turns: AdviceTurns): void {
    this.turns = turns;
  }

  /** Asks about endpoints for the tasks of a step that found none. */
  sendQuestion(step: WaitingStep, eligible: readonly EndpointBook[], missing: number, now: number): void {
    const { advice } = step.job.definition.queue;
    const book = step.job.readAdvice(step.time, step.step);
    if (advice === undefined || book.isBusy() || now - book.readLastAskedAt() < ASK_AGAIN_MS) {
      return;
    }
    const isLong = advice.decisionMs + advice.perEndpointMs * MAX_NAMED > LONG_QUESTION_MS;
    if (!this.hasTurn(isLong)) {
      return;
    }
    const named = this.room.isLarge(step, eligible)
      ? this.chooseNamedForLarge(step, eligible, missing, now)
      : this.chooseNamed(step, eligible, missing, now);
    if (named.length === 0) {
      return;
    }
    book.recordQuestion(now);
    this.turns = { all: this.turns.all - 1, long: this.turns.long - (isLong ? 1 : 0) };
    this.sendEffect({
      kind: 'advise',
      step: `${step.job.definition.id}.${step.time}.${step.step}`,
      endpoints: named,
      expectedMs: advice.decisionMs + advice.perEndpointMs * named.length,
      isLong,
    });
  }

  private hasTurn(isLong: boolean): boolean {
    return this.turns.all > 0 && (!isLong || this.turns.long > 0);
  }

  /** Asks for advice on steps that are about to become ready. */
  sendEarlyQuestions(job: LiveJob, now: number, wallMs: number): void {
    const { definition, progress } = job;
    const { advice } = definition.queue;
    if (advice === undefined || progress.isEnded() || definition.steps.length === 1 || this.turns.all === 0) {
      return;
    }
    for (let time = 0; time < definition.times && job.readDueAtMs(time) <= wallMs; time += 1) {
      for (const [step, shape] of definition.steps.entries()) {
        const isLater = shape.dependsOn.length > 0 && !progress.isStepReady(time, step);
        if (!isLater || job.readAdvice(time, step).isBusy()) {
          continue;
        }
        const leadMs = advice.decisionMs + advice.perEndpointMs * MAX_NAMED + EARLY_MARGIN_MS;
        if (this.readReadyInMs(job, time, step, now) <= leadMs) {
          const indexes = progress.readTasks(time, step).map((_task, index) => index);
          const waiting = { job, time, step, shape, indexes, objectiveAtMs: job.readObjectiveAtMs(time) };
          this.sendQuestion(waiting, this.room.readEligible(waiting), indexes.length, now);
        }
      }
    }
  }

  /** Endpoints worth asking about: with room now, and not answered yet. Those allowed before come first. */
  private chooseNamed(
    step: WaitingStep,
    eligible: readonly EndpointBook[],
    missing: number,
    now: number,
  ): readonly EndpointId[] {
    const advice = step.job.readAdvice(step.time, step.step);
    const { shape } = step;
    const demand = this.room.toCountedDemand(shape);
    const open = eligible.filter((book) => {
      const { id } = book.readProfile();
      const isOpen = !advice.isRefused(id) && advice.readTicket(id, now) === undefined;
      return isOpen && book.hasRoom(demand) && !this.room.isCrowded(step, book);
    });
    if (open.length === 0 || (demand.cpuMillis > this.room.readReserveLeft(step) && !shape.isFiller)) {
      return [];
    }
    const toIdOf = (book: EndpointBook): EndpointId => book.readProfile().id;
    const known = open.filter((book) => advice.hasBeenAllowed(toIdOf(book)));
    if (known.reduce((sum, book) => sum + this.readFitCount(book, shape), 0) >= missing) {
      return known.slice(0, MAX_NAMED).map(toIdOf);
    }
    const byRoom = [...open].sort((left, right) => right.readFreeCpuMillis() - left.readFreeCpuMillis());
    return byRoom.slice(0, MAX_NAMED).map(toIdOf);
  }

  /**
   * Endpoints worth asking about for what rarely finds room: those allowed before that have it or where it can be made; while
   * these are too few, also those not asked about yet, whether or not they have room now, since the answer stands.
   */
  private chooseNamedForLarge(
    step: WaitingStep,
    eligible: readonly EndpointBook[],
    missing: number,
    now: number,
  ): readonly EndpointId[] {
    const advice = step.job.readAdvice(step.time, step.step);
    const demand = this.room.toCountedDemand(step.shape);
    const open = eligible.filter((book) => {
      const { id, capacity } = book.readProfile();
      const isOpen = !advice.isRefused(id) && advice.readTicket(id, now) === undefined;
      return isOpen && demandSums.isWithin(demand, capacity) && !this.room.isCrowded(step, book);
    });
    const allowed = open.filter((book) => advice.hasBeenAllowed(book.readProfile().id));
    const ready = allowed.filter(
      (book) => book.hasRoom(demand) || this.preemptor.hasRoomWithStops(step, book, demand, now),
    );
    const unasked = open.filter((book) => !allowed.includes(book));
    const readyCount = ready.reduce((sum, book) => sum + this.readHoldCount(book, step.shape), 0);
    // A gang starts whole or not at all; of other steps each task may start by itself.
    if (step.shape.isGang && readyCount < missing && unasked.length === 0) {
      return [];
    }
    const named = readyCount >= missing ? ready : [...ready, ...unasked];
    return named.slice(0, MAX_NAMED).map((book) => book.readProfile().id);
  }

  /** Tasks that the endpoint would hold if it ran nothing else. */
  private readHoldCount(book: EndpointBook, shape: JobStep): number {
    const { capacity } = book.readProfile();
    const demand = this.room.toCountedDemand(shape);
    const toCount = (whole: number, part: number): number =>
      part === 0 ? Infinity : Math.floor(whole / part);
    const limit = shape.maxPerEndpoint === 0 ? Infinity : shape.maxPerEndpoint;
    return Math.min(
      limit,
      toCount(capacity.cpuMillis, demand.cpuMillis),
      toCount(capacity.memoryMb, demand.memoryMb),
      toCount(capacity.accelerators, demand.accelerators),
    );
  }

  private readFitCount(book: EndpointBook, shape: JobStep): number {
    const free = book.readFree();
    const byCpu =
      shape.isFiller || shape.demand.cpuMillis === 0 ? Infinity : free.cpuMillis / shape.demand.cpuMillis;
    const byMemory = shape.demand.memoryMb === 0 ? Infinity : free.memoryMb / shape.demand.memoryMb;
    const limit = shape.maxPerEndpoint === 0 ? Infinity : shape.maxPerEndpoint;
    return Math.floor(Math.min(byCpu, byMemory, limit));
  }

  /** Estimated time until a later step becomes ready; Infinity while an earlier one has not started. */
  private readReadyInMs(job: LiveJob, time: number, step: number, now: number): number {
    let readyInMs = 0;
    for (const earlier of job.definition.steps[step]!.dependsOn) {
      for (const [index, task] of job.progress.readTasks(time, earlier).entries()) {
        if (task.phase === 'waiting') {
          return Infinity;
        }
        if (task.phase === 'placed') {
          const name = toTaskName(job.definition.id, { time, step: earlier, index });
          const run = this.books.get(task.endpoint)?.readRun(name, task.run);
          const estimatedMs = job.definition.steps[earlier]!.estimatedMs;
          readyInMs = Math.max(
            readyInMs,
            run === undefined ? 0 : this.readRemainingMs(run, estimatedMs, now),
          );
        }
      }
    }
    return readyInMs;
  }

  private readRemainingMs(run: PlacedRun, estimatedMs: number, now: number): number {
    const ageMs = now - run.placedAt;
    if (run.percent < KNOWN_SPEED_PERCENT) {
      return Math.max(0, estimatedMs - ageMs);
    }
    const wholeMs = ((run.progressedAt - run.placedAt) * 100) / run.percent;
    return Math.max(0, wholeMs - ageMs);
  }
}
