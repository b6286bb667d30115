import { CrashLedger } from './crashes/CrashLedger';
import { isUnderSuspicion } from './crashes/isUnderSuspicion';
import type { CustomerName } from '../customers/CustomerName';
import { CustomerUsage } from '../customers/CustomerUsage';
import { ShareMeter } from '../customers/ShareMeter';
import type { EndpointLife } from '../jobs/EndpointLife';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import type { JobProgress } from '../jobs/JobProgress';
import type { TaskAddress } from '../jobs/TaskAddress';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { TaskName } from '../jobs/TaskName';
import type { TaskProgress } from '../jobs/TaskProgress';
import { demandSums } from '../jobs/demandSums';
import { endpointLives } from '../jobs/endpointLives';
import type { LoadSnapshot } from '../load/LoadSnapshot';
import { dispatchDefaults } from './dispatchDefaults';
import type { DispatchEffect } from './DispatchEffect';
import type { DispatchWays } from './DispatchWays';
import { EndpointBook } from './endpoints/EndpointBook';
import { LifeEnds } from './endpoints/LifeEnds';
import { createUnlistedProfile } from './endpoints/createUnlistedProfile';
import type { EndpointProfile } from './endpoints/EndpointProfile';
import { KindSpeeds } from './placing/KindSpeeds';
import { LimitView } from './placing/LimitView';
import { LiveJob } from './waiting/LiveJob';
import type { OrderAnswer } from './endpoints/OrderAnswer';
import type { PlacementOrder } from './waiting/PlacementOrder';
import { placementOrders } from './waiting/placementOrders';
import type { PlacedRun } from './runs/PlacedRun';
import { Preemptor } from './placing/Preemptor';
import { RoomReservations } from './placing/RoomReservations';
import { createPlacedRun } from './runs/createPlacedRun';
import { AdviceHistory } from './advice/AdviceHistory';
import { AdviceQuestions } from './advice/AdviceQuestions';
import type { AdviceTurns } from './advice/AdviceTurns';
import type { CandidateChoice } from './advice/CandidateChoice';
import { TurnAccount } from './advice/TurnAccount';
import { turnChoices } from './advice/turnChoices';
import { GangWatch } from './runs/GangWatch';
import type { LookAnswer } from './endpoints/LookAnswer';
import { LookReader } from './endpoints/LookReader';
import { measureLoad } from './measureLoad';
import { RoomView } from './placing/RoomView';
import { RunLedger } from './runs/RunLedger';
import { RunMover } from './runs/RunMover';
import { RunOrders } from './runs/RunOrders';
import { EndpointSpeeds } from './speeds/EndpointSpeeds';
import { RunLearner } from './speeds/RunLearner';
import { RunTimes } from './speeds/RunTimes';
import { EndpointPreference } from './placing/EndpointPreference';
import { EndpointTrust } from './stops/EndpointTrust';
import type { MoveCandidate } from './stops/MoveCandidate';
import { stopChoices } from './stops/stopChoices';
import type { StopPrice } from './stops/StopPrice';
import { SuspicionCosts } from './placing/SuspicionCosts';
import { StepPlacer } from './placing/StepPlacer';
import { toStepName } from './waiting/toStepName';
import type { WaitingStep } from './waiting/WaitingStep';
import { WaitTeller } from './waiting/WaitTeller';

interface DispatcherOptions extends Partial<DispatchWays> {
  /** Definition of any job, also of one that has ended. */
  readonly readDefinition: (id: JobId) => JobDefinition | undefined;
  /** Monotonic time until which an endpoint that has not been heard may run what earlier leaders placed there. */
  readonly unheardUntil: number;
  /** Longest lease that an endpoint grants, in milliseconds. */
  readonly longestLeaseMs?: number;
  /** The limit of a customer in the configuration in force; where there is none, that kept with the job counts. */
  readonly readLimit?: (customer: CustomerName) => TaskDemand | undefined;
}

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

/** Of platforms that name no other. */
const DEFAULT_LONGEST_LEASE_MS = 10_000;
const UNLIMITED_TURNS: AdviceTurns = { all: Infinity, long: Infinity };

/**
 * The leader's decisions, with no clock and no socket: messages come in with the time, and what is to be done comes out by
 * `readEffects`. Room is taken when a run is chosen and freed only when its end is known.
 */
export class Dispatcher {
  private readonly books = new Map<EndpointLife, EndpointBook>();
  private readonly jobs = new Map<JobId, LiveJob>();
  /** What each customer has running; every book tells it of its runs. */
  private readonly usage = new CustomerUsage();
  private readonly shares = new ShareMeter();
  private effects: DispatchEffect[] = [];
  private readonly changed = new Set<JobId>();
  private readonly order: (typeof placementOrders)[PlacementOrder];
  private readonly placer: StepPlacer;
  private readonly ledger: RunLedger;
  private readonly orders: RunOrders;
  private readonly looks: LookReader;
  private readonly questions: AdviceQuestions;
  private readonly adviceHistory = new AdviceHistory();
  private readonly turnAccount: TurnAccount;
  private readonly adviceCandidates: CandidateChoice;
  private readonly mover: RunMover;
  private readonly preemptor: Preemptor;
  private readonly trust: EndpointTrust;
  private readonly speeds = new EndpointSpeeds();
  private readonly learner: RunLearner;
  private readonly preference: EndpointPreference;
  private readonly gangs: GangWatch;
  private readonly waits: WaitTeller;
  private readonly crashes: CrashLedger;
  private readonly lifeEnds: LifeEnds;
  /** True when something has happened since the last round that may let work start. */
  private hasNews = false;
  /** True when the last round only asked for tickets, so that the next one has to look at all that waits. */
  private hasAskedAhead = false;
  /** True when early questions are due: they go with time, not with each message. */
  private hasTimePassed = false;
  private readonly room: RoomView;
  private readonly reservations = new RoomReservations();

  constructor(private readonly options: DispatcherOptions) {
    const sendEffect = (effect: DispatchEffect): void => void this.effects.push(effect);
    const ways: DispatchWays = { ...dispatchDefaults, ...options };
    this.order = placementOrders[ways.placementOrder];
    const stops = stopChoices[ways.stopChoice];
    const sinks = {
      handleFreed: () => {
        this.hasNews = true;
      },
      handleChanged: (job: JobId) => this.changed.add(job),
      sendEffect,
    };
    this.ledger = new RunLedger(this.books, this.jobs, sinks, stops.isMovingGangs);
    this.crashes = new CrashLedger({
      jobs: this.jobs,
      ledger: this.ledger,
      handleChanged: (job) => this.changed.add(job),
    });
    this.lifeEnds = new LifeEnds({
      books: this.books,
      ledger: this.ledger,
      crashes: this.crashes,
      longestLeaseMs: options.longestLeaseMs ?? DEFAULT_LONGEST_LEASE_MS,
    });
    const { reservations } = this;
    this.room = new RoomView(this.books, reservations);
    this.trust = new EndpointTrust(this.books, stops.isClosing);
    this.preemptor = new Preemptor({
      jobs: this.jobs,
      reservations,
      room: stops.room,
      handlePreempted: (book, run, step, price) => this.handlePreempted(book, run, step, price),
    });
    const { preemptor } = this;
    const limits = new LimitView(this.usage, options.readLimit ?? (() => undefined));
    const kinds = new KindSpeeds();
    const { speeds } = this;
    const times = new RunTimes();
    const { speedChoice, hallChoice } = ways;
    const preference = new EndpointPreference({
      kinds,
      speeds,
      times,
      room: this.room,
      speedChoice,
      hallChoice,
    });
    this.preference = preference;
    const { room, adviceHistory: history } = this;
    const way = turnChoices[ways.turnChoice];
    const candidates = way.createCandidates({ room, preemptor, history, preference });
    this.adviceCandidates = candidates;
    this.turnAccount = new TurnAccount((name, amount) => sendEffect({ kind: 'count', name, amount }));
    this.questions = new AdviceQuestions({
      books: this.books,
      room,
      limits,
      way,
      candidates,
      history,
      account: this.turnAccount,
      sendEffect,
    });
    this.placer = new StepPlacer({
      room: this.room,
      limits,
      questions: this.questions,
      preemptor,
      reservations,
      preference,
      suspicion: new SuspicionCosts(this.books, this.crashes),
      trust: this.trust,
      sendEffect,
    });
    this.mover = new RunMover({
      books: this.books,
      jobs: this.jobs,
      stops,
      readRunTime: (queue, shape) => times.readEstimate(queue, shape),
      handleMove: (candidate) => this.handleMove(candidate),
    });
    this.learner = new RunLearner({
      books: this.books,
      jobs: this.jobs,
      kinds,
      speeds,
      times,
      speedChoice,
      sendTell: (sentence, fields) => this.ledger.sendTell(sentence, fields),
    });
    this.orders = new RunOrders({
      books: this.books,
      jobs: this.jobs,
      ledger: this.ledger,
      handleGone: (life, now) => this.handleLifeOver(life, now),
    });
    this.looks = new LookReader({
      jobs: this.jobs,
      ledger: this.ledger,
      learner: this.learner,
      crashes: this.crashes,
      readDefinition: options.readDefinition,
    });
    this.waits = new WaitTeller(this.jobs, (sentence, fields) => this.ledger.sendTell(sentence, fields));
    this.gangs = new GangWatch(this.books, this.jobs, (book, run) =>
      this.ledger.sendStop(book, run, 'gangBroken'),
    );
  }

  /** Gives, once, everything to be done since the last call, records before the starts that need them. */
  readEffects(): readonly DispatchEffect[] {
    const records: DispatchEffect[] = [...this.changed].map((job) => ({ kind: 'record', job }));
    const effects = [...records, ...this.effects];
    this.changed.clear();
    this.effects = [];
    return effects;
  }

  readJob(id: JobId): LiveJob | undefined {
    return this.jobs.get(id);
  }

  readJobCount(): number {
    return this.jobs.size;
  }

  readUsage(): CustomerUsage {
    return this.usage;
  }

  readSpeeds(): EndpointSpeeds {
    return this.speeds;
  }

  /** Tasks that could start and wait, by customer. Looks at all open jobs. */
  readWaitingCounts(wallMs: number): ReadonlyMap<CustomerName, number> {
    const counts = new Map<CustomerName, number>();
    for (const job of this.jobs.values()) {
      const name = job.definition.customer?.name;
      if (name === undefined || job.progress.isEnded()) {
        continue;
      }
      const waiting = job.readWaiting(wallMs).reduce((sum, { indexes }) => sum + indexes.length, 0);
      counts.set(name, (counts.get(name) ?? 0) + waiting);
    }
    return counts;
  }

  /** Room of all usable endpoints together, taken or not. Looks at all books. */
  readCapacity(): TaskDemand {
    let capacity = demandSums.NOTHING;
    for (const book of this.books.values()) {
      if (book.isUsable()) {
        capacity = demandSums.toSum(capacity, book.readProfile().capacity);
      }
    }
    return capacity;
  }

  /** What waits and runs. Looks at all jobs and runs. */
  readLoad(wallMs: number): LoadSnapshot {
    const capacity = this.readCapacity();
    return measureLoad({ books: this.books.values(), jobs: this.jobs, usage: this.usage, capacity, wallMs });
  }

  readBook(id: EndpointLife): EndpointBook | undefined {
    return this.books.get(id);
  }

  /**
   * Takes a job in. Jobs come in the order of acceptance, also those that have ended, since they count against their customer's
   * share. What its progress shows as placed may be running until its endpoint has been heard.
   */
  handleJob(definition: JobDefinition, progress: JobProgress, now: number): void {
    if (this.jobs.has(definition.id)) {
      return;
    }
    const { customer, acceptedAtMs } = definition;
    const isBeyondShare = customer !== undefined && this.shares.recordJob(customer, acceptedAtMs);
    if (progress.isEnded()) {
      return;
    }
    const job = new LiveJob(definition, progress, now, isBeyondShare);
    this.jobs.set(definition.id, job);
    this.room.recordQueue(definition.queue);
    this.hasNews = true;
    for (let time = 0; time < definition.times; time += 1) {
      for (const [step] of definition.steps.entries()) {
        for (const [index, task] of progress.readTasks(time, step).entries()) {
          const address = { time, step, index };
          this.crashes.recordInherited(job, address, now);
          if (task.phase === 'placed') {
            this.recordInherited(job, address, task, now);
          }
        }
      }
    }
  }

  handleCancel(id: JobId, wallMs: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.progress.isEnded()) {
      return;
    }
    job.isCancelled = true;
    this.ledger.recordJobEnd(job, 'cancelled', wallMs);
  }

  /** Takes in what an endpoint's record says, for a new endpoint or a changed one. */
  handleEndpoint(profile: EndpointProfile): void {
    this.hasNews = true;
    const book = this.books.get(profile.life);
    if (book === undefined) {
      this.books.set(profile.life, new EndpointBook(profile, this.options.unheardUntil, this.usage));
      return;
    }
    book.applyProfile(profile);
  }

  /** The endpoint's record has gone: nothing new goes there; what runs there is known only by its own word or its lease. */
  handleEndpointLeft(id: EndpointLife): void {
    const book = this.books.get(id);
    if (book !== undefined) {
      book.recordUnlisted();
      this.ledger.checkEmptyBook(book);
    }
  }

  /** The other lives of a life's endpoint that have books. Looks at all books. */
  readOtherLives(life: EndpointLife): readonly EndpointLife[] {
    const id = endpointLives.readEndpoint(life);
    return [...this.books.keys()].filter(
      (other) => other !== life && endpointLives.readEndpoint(other) === id,
    );
  }

  /** The life has left, and nothing of it matters any more. */
  handleForgotten(life: EndpointLife): void {
    this.books.delete(life);
  }

  /**
   * A life is over, so that nothing that it has listed runs any more. What was sent to it and never listed may have reached the life after it,
   * or reach it still: it goes into that life's books, and the first look there that shuts out earlier orders tells what became of it.
   */
  handleLifeOver(life: EndpointLife, now: number, next?: EndpointLife): void {
    this.lifeEnds.handleLifeOver(life, now, next);
  }

  /** True while a look at an endpoint that fell silent for good may still tell whether it crashed. */
  isAwaited(id: EndpointLife, now: number): boolean {
    return this.crashes.isAwaited(id, now);
  }

  /** The endpoint did not answer a look. */
  handleSilence(id: EndpointLife, now: number): void {
    const book = this.books.get(id);
    if (book === undefined) {
      return;
    }
    if (book.readSilentSince() === undefined) {
      this.crashes.handleSilence(book, now);
    }
    book.recordSilence(now);
  }

  /** The endpoint answered a look: what it does not list, and was asked for after the order was answered, does not run. */
  handleLook(answer: LookAnswer, now: number, wallMs: number): void {
    const book = this.books.get(answer.endpoint);
    if (book === undefined) {
      return;
    }
    // Most looks show nothing but that all goes on: then no round is worth its time.
    this.hasNews ||= !book.isUsable();
    this.looks.handleLook(book, answer, now, wallMs);
  }

  handleStartAnswer(
    id: EndpointLife,
    task: TaskName,
    runNumber: number,
    answer: OrderAnswer,
    now: number,
  ): void {
    this.orders.handleStartAnswer(id, task, runNumber, answer, now);
  }

  handleStopAnswer(
    id: EndpointLife,
    task: TaskName,
    runNumber: number,
    answer: OrderAnswer,
    now: number,
  ): void {
    this.orders.handleStopAnswer(id, task, runNumber, answer, now);
  }

  handleAdvice(
    step: string,
    asked: readonly EndpointLife[],
    good: ReadonlyMap<EndpointLife, string> | undefined,
    now: number,
  ): void {
    const [id, time, number] = step.split('.');
    const job = this.jobs.get(id as JobId);
    this.adviceHistory.recordAnswer(job?.definition.queue.name ?? '', asked, good?.size);
    this.adviceCandidates.recordAnswer(step, asked);
    const validityMs = job?.definition.queue.advice?.validityMs ?? 0;
    const book = job?.readAdvice(Number(time), Number(number));
    const tookMs = book === undefined ? 0 : now - book.readAskedAt();
    if (good === undefined) {
      this.turnAccount.recordUnanswered(tookMs);
    }
    const source = good && this.turnAccount.recordAnswer(tookMs, now + validityMs);
    book?.recordAnswer(asked, good, now, validityMs, source);
    this.hasNews = true;
  }

  /** Tells whether a start whose record is durable should still be sent; if not, its room is free again. */
  handleRecorded(effect: StartEffect, now: number): boolean {
    return this.orders.handleRecorded(effect, now);
  }

  /** A start could not be sent at all. */
  handleUnsent(effect: StartEffect, now: number): void {
    this.orders.handleUnsent(effect, now);
  }

  /** Lets time pass: leases run out, stops are repeated, repetitions fall due. */
  applyTime(now: number): void {
    this.hasNews = true;
    this.hasTimePassed = true;
    for (const book of [...this.books.values()]) {
      this.lifeEnds.applyTime(book, now);
      this.ledger.sendStopsAgain(book, now);
    }
    this.reservations.applyTime(now);
    this.turnAccount.applyTime(now);
    this.learner.applyTime(now);
    this.mover.applyTime(now);
    this.waits.applyTime(now);
    this.gangs.checkAll();
    this.applyRemovals();
  }

  /** Fields of a line about each step that waits. */
  readWaits(now: number): ReturnType<WaitTeller['readAll']> {
    return this.waits.readAll(now);
  }

  /** Starts what can start, if anything has happened since the last call. */
  placeWaiting(now: number, wallMs: number, turns = UNLIMITED_TURNS): void {
    if (!this.hasNews && !this.hasAskedAhead) {
      return;
    }
    this.hasAskedAhead = false;
    for (const step of this.startRound(now, wallMs, turns)) {
      if (this.placer.placeStep(step, now)) {
        this.changed.add(step.job.definition.id);
      }
    }
    if (this.hasTimePassed) {
      this.hasTimePassed = false;
      this.sendEarlyQuestions(now, wallMs);
    }
  }

  /**
   * Instead of `placeWaiting` while no start can be recorded: asks for the tickets that what waits would need, again when they
   * run out, so that the log's return finds valid ones for what is placed first.
   */
  sendQuestionsAhead(now: number, wallMs: number, turns = UNLIMITED_TURNS): void {
    if (!this.hasNews) {
      return;
    }
    this.hasAskedAhead = true;
    for (const step of this.startRound(now, wallMs, turns)) {
      this.placer.sendQuestionAhead(step, now);
    }
    this.placer.revokeBooked();
  }

  /** Gives back the room of starts that wait for their record; they are decided anew. */
  revokeUnrecorded(now: number): void {
    this.orders.revokeUnrecorded(now);
  }

  /** Begins a round; gives what waits, in the order of placement. */
  private startRound(now: number, wallMs: number, turns: AdviceTurns): readonly WaitingStep[] {
    this.crashes.applyGivenUp(now, wallMs);
    this.hasNews = false;
    this.room.startRound();
    this.preemptor.startRound(now, wallMs);
    this.trust.startRound();
    this.preference.startRound(wallMs);
    this.questions.startRound(turns);
    const waiting: WaitingStep[] = [];
    for (const job of this.jobs.values()) {
      if (!job.progress.isEnded()) {
        waiting.push(...job.readWaiting(wallMs));
      }
    }
    return this.order.toOrder(waiting, {
      wallMs,
      usage: this.usage,
      readCapacity: () => this.readCapacity(),
    });
  }

  private sendEarlyQuestions(now: number, wallMs: number): void {
    for (const job of this.jobs.values()) {
      this.questions.sendEarlyQuestions(job, now, wallMs);
    }
  }

  private handleMove({ book, run, reason, gainMs }: MoveCandidate): void {
    const { life: id } = book.readProfile();
    this.jobs.get(run.job)?.recordFailedOn(run.address.time, run.address.step, id);
    this.ledger.sendTell('Run is moved.', {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: id,
      reason,
      percent: run.percent,
      gainMs: Math.round(gainMs),
    });
    this.ledger.sendStop(book, run, reason);
  }

  private handlePreempted(book: EndpointBook, run: PlacedRun, step: WaitingStep, price: StopPrice): void {
    this.ledger.sendTell('Run gives way.', {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: book.readProfile().life,
      percent: run.percent,
      priority: run.priority,
      for: toStepName(step),
      ...price,
    });
    this.ledger.sendStop(book, run, 'gaveWay');
  }

  private recordInherited(job: LiveJob, address: TaskAddress, task: TaskProgress, now: number): void {
    const { definition } = job;
    let book = this.books.get(task.endpoint);
    if (book === undefined) {
      // Its record is gone: it may be cut off, and still run this until its lease ends.
      const profile = createUnlistedProfile(task.endpoint, definition.queue.service);
      book = new EndpointBook(profile, this.options.unheardUntil, this.usage);
      // Whether it left by plan is not known either: it may as well have crashed before this leader read the records.
      book.recordUnlisted();
      this.books.set(task.endpoint, book);
    }
    const run = createPlacedRun(definition, address, task.run, now, {
      isSuspect: isUnderSuspicion(task.crashes),
    });
    run.stage = 'unconfirmed';
    run.checkpoint = task.checkpoint;
    book.recordRun(run);
  }

  private applyRemovals(): void {
    for (const [id, job] of this.jobs) {
      if (job.progress.isEnded() && !this.changed.has(id)) {
        this.jobs.delete(id);
      }
    }
  }
}
