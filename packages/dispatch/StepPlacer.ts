import type { EndpointId } from '../jobs/EndpointId';
import type { JobStep } from '../jobs/JobStep';
import type { ServiceName } from '../jobs/ServiceName';
import { toTaskName } from '../jobs/toTaskName';
import { createPlacedRun } from './createPlacedRun';
import type { DispatchEffect } from './DispatchEffect';
import type { EndpointBook } from './EndpointBook';
import type { LiveJob } from './LiveJob';
import type { PlacedRun } from './PlacedRun';
import { rankingRules } from './rankingRules';
import type { WaitingStep } from './WaitingStep';

interface Choice {
  readonly index: number;
  readonly book: EndpointBook;
  readonly ticket: string;
}

type PlacerEffect = Extract<DispatchEffect, { kind: 'start' | 'advise' | 'tell' }>;

/** Endpoints named in one question; so many are counted in a job's objective. */
const MAX_NAMED = 30;
const ASK_AGAIN_MS = 120;
/** A question for a later step is sent so long before it is expected to be ready, beyond the question's own time. */
const EARLY_MARGIN_MS = 150;
/** Share of a service's processors that only priority 0 may take. */
const RESERVED_SHARE = 0.08;
const MOST_URGENT = 0;
/** Percent below which a run's speed is not known. */
const KNOWN_SPEED_PERCENT = 5;

/** Chooses endpoints for waiting tasks and books them; asks for advice where a queue needs it. */
export class StepPlacer {
  constructor(
    private readonly books: ReadonlyMap<EndpointId, EndpointBook>,
    private readonly sendEffect: (effect: PlacerEffect) => void,
  ) {}

  /** Places what can be placed of a step; returns whether anything was. */
  placeStep(step: WaitingStep, now: number): boolean {
    const eligible = this.readEligible(step);
    const choices = this.chooseEndpoints(step, eligible, now);
    const isWhole = choices.length === step.indexes.length;
    if (step.shape.isGang && !isWhole) {
      choices.forEach((choice) => this.revokeChoice(step, choice));
      choices.length = 0;
    }
    if (choices.length < step.indexes.length) {
      const missing = step.indexes.length - choices.length;
      this.sendQuestion(step, eligible, missing, now);
    }
    this.placeChoices(step, choices, now);
    return choices.length > 0;
  }

  /** Asks for advice on steps that are about to become ready. */
  sendEarlyQuestions(job: LiveJob, now: number, wallMs: number): void {
    const { definition, progress } = job;
    const { advice } = definition.queue;
    if (advice === undefined || progress.isEnded() || definition.steps.length === 1) {
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
          this.sendQuestion(waiting, this.readEligible(waiting), indexes.length, now);
        }
      }
    }
  }

  private readEligible({ job, shape }: WaitingStep): readonly EndpointBook[] {
    const { service } = job.definition.queue;
    return [...this.books.values()].filter((book) => {
      const profile = book.readProfile();
      const hasLabel = shape.requiredLabel === '' || profile.labels.includes(shape.requiredLabel);
      return profile.service === service && hasLabel && book.isUsable();
    });
  }

  /** Books an endpoint for each task that finds one. */
  private chooseEndpoints(step: WaitingStep, eligible: readonly EndpointBook[], now: number): Choice[] {
    const choices: Choice[] = [];
    const advice = step.job.definition.queue.advice === undefined ? undefined : this.readAdviceBook(step);
    const allowed = eligible.filter(
      (book) => advice === undefined || advice.readTicket(book.readProfile().id, now) !== undefined,
    );
    if (allowed.length === 0) {
      return choices;
    }
    let reserveLeft = this.readReserveLeft(step);
    const runNumber = this.readNextRun(step);
    for (const index of step.indexes) {
      if (step.shape.demand.cpuMillis > reserveLeft && !step.shape.isFiller) {
        break;
      }
      const book = this.chooseEndpoint(step, allowed, now);
      if (book === undefined) {
        break;
      }
      const { time, step: number } = step;
      const previous = step.job.progress.readTask({ time, step: number, index });
      const run = step.shape.isGang ? runNumber : (previous?.run ?? 0) + 1;
      const isFromStart = (previous?.checkpoint ?? '') === '';
      const address = { time, step: number, index };
      book.recordRun(createPlacedRun(step.job.definition, address, run, now, isFromStart));
      reserveLeft -= step.shape.demand.cpuMillis;
      choices.push({ index, book, ticket: advice?.readTicket(book.readProfile().id, now) ?? '' });
    }
    return choices;
  }

  private chooseEndpoint(
    step: WaitingStep,
    allowed: readonly EndpointBook[],
    now: number,
  ): EndpointBook | undefined {
    const { shape } = step;
    const demand = shape.isFiller ? { ...shape.demand, cpuMillis: 0 } : shape.demand;
    const rules = rankingRules[shape.isFiller ? 'filler' : shape.isLongRunning ? 'serving' : 'batch'];
    let best: EndpointBook | undefined;
    let bestFit = Infinity;
    for (const book of allowed) {
      if (!book.hasRoom(demand) || this.isCrowded(step, book)) {
        continue;
      }
      const fit = rules.measureFit(step, book, now);
      if (fit < bestFit) {
        bestFit = fit;
        best = book;
      }
    }
    return best;
  }

  /** True when the endpoint holds as many tasks of the step as it may. */
  private isCrowded({ job, time, step, shape }: WaitingStep, book: EndpointBook): boolean {
    if (shape.maxPerEndpoint === 0) {
      return false;
    }
    let count = 0;
    for (const run of book.readRuns()) {
      const { address } = run;
      if (run.job === job.definition.id && address.time === time && address.step === step) {
        count += 1;
      }
    }
    return count >= shape.maxPerEndpoint;
  }

  /** Processor time that this step may take before it touches what is kept for the most urgent. */
  private readReserveLeft(step: WaitingStep): number {
    if (step.job.definition.queue.priority === MOST_URGENT) {
      return Infinity;
    }
    const service: ServiceName = step.job.definition.queue.service;
    let free = 0;
    let capacity = 0;
    for (const book of this.books.values()) {
      if (book.readProfile().service === service && book.isUsable()) {
        free += book.readFree().cpuMillis;
        capacity += book.readProfile().capacity.cpuMillis;
      }
    }
    return free - capacity * RESERVED_SHARE;
  }

  /** Members of a gang share one run number, above all that were used. */
  private readNextRun({ job, time, step }: WaitingStep): number {
    return 1 + Math.max(0, ...job.progress.readTasks(time, step).map((task) => task.run));
  }

  private readAdviceBook({ job, time, step }: WaitingStep): ReturnType<LiveJob['readAdvice']> {
    return job.readAdvice(time, step);
  }

  private revokeChoice(step: WaitingStep, { index, book }: Choice): void {
    const task = toTaskName(step.job.definition.id, { time: step.time, step: step.step, index });
    const run = book.readRun(task, this.readNextRun(step));
    if (run !== undefined) {
      book.recordRunEnd(run);
    }
  }

  private placeChoices(step: WaitingStep, choices: readonly Choice[], now: number): void {
    const { job, time, step: number, shape } = step;
    const { progress, definition } = job;
    const runNumber = this.readNextRun(step);
    const gangCheckpoint = shape.isGang ? this.readGangCheckpoint(step) : '';
    for (const { index, book, ticket } of choices) {
      const address = { time, step: number, index };
      const before = progress.readTask(address)!;
      const run = shape.isGang ? runNumber : before.run + 1;
      const endpoint = book.readProfile().id;
      const checkpoint = shape.isGang ? gangCheckpoint : before.checkpoint;
      progress.recordPlaced(address, run, endpoint);
      const task = toTaskName(definition.id, address);
      const order = { task, run, spec: definition.spec, checkpoint, ticket };
      this.sendEffect({ kind: 'start', job: definition.id, endpoint, order });
      this.sendEffect({
        kind: 'tell',
        sentence: 'Run placed.',
        fields: {
          job: definition.id,
          task,
          run,
          endpoint,
          freeCpuMillis: book.readFree().cpuMillis,
          failureRate: Number(book.readFailureRate(now).toFixed(2)),
        },
      });
    }
  }

  /** The saved text of any member is good for all, and all must carry the same one. */
  private readGangCheckpoint({ job, time, step }: WaitingStep): string {
    const saved = job.progress.readTasks(time, step).find((task) => task.checkpoint !== '');
    return saved?.checkpoint ?? '';
  }

  private sendQuestion(
    step: WaitingStep,
    eligible: readonly EndpointBook[],
    missing: number,
    now: number,
  ): void {
    const { advice } = step.job.definition.queue;
    const book = this.readAdviceBook(step);
    if (advice === undefined || book.isBusy() || now - book.readLastAskedAt() < ASK_AGAIN_MS) {
      return;
    }
    const named = this.chooseNamed(step, eligible, missing, now);
    if (named.length === 0) {
      return;
    }
    book.recordQuestion(now);
    this.sendEffect({
      kind: 'advise',
      step: `${step.job.definition.id}.${step.time}.${step.step}`,
      endpoints: named,
      expectedMs: advice.decisionMs + advice.perEndpointMs * named.length,
      isUrgent: step.job.definition.queue.priority === MOST_URGENT,
    });
  }

  /** Endpoints worth asking about: with room now, and not answered yet. Those allowed before come first. */
  private chooseNamed(
    step: WaitingStep,
    eligible: readonly EndpointBook[],
    missing: number,
    now: number,
  ): readonly EndpointId[] {
    const advice = this.readAdviceBook(step);
    const { shape } = step;
    const demand = shape.isFiller ? { ...shape.demand, cpuMillis: 0 } : shape.demand;
    const open = eligible.filter((book) => {
      const { id } = book.readProfile();
      const isOpen = !advice.isRefused(id) && advice.readTicket(id, now) === undefined;
      return isOpen && book.hasRoom(demand) && !this.isCrowded(step, book);
    });
    if (open.length === 0 || (demand.cpuMillis > this.readReserveLeft(step) && !shape.isFiller)) {
      return [];
    }
    const toIdOf = (book: EndpointBook): EndpointId => book.readProfile().id;
    const known = open.filter((book) => advice.hasBeenAllowed(toIdOf(book)));
    if (known.reduce((sum, book) => sum + this.readFitCount(book, shape), 0) >= missing) {
      return known.slice(0, MAX_NAMED).map(toIdOf);
    }
    const byRoom = [...open].sort((left, right) => right.readFree().cpuMillis - left.readFree().cpuMillis);
    return byRoom.slice(0, MAX_NAMED).map(toIdOf);
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
