import { CrashTracker } from './crashes/CrashTracker';
import { isCrashSuspect } from './crashes/isCrashSuspect';
import type { CustomerName } from '../customers/CustomerName';
import { CustomerUsage } from '../customers/CustomerUsage';
import { JobRateMeter } from '../customers/JobRateMeter';
import type { EndpointIncarnation } from '../jobs/EndpointIncarnation';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import type { JobProgress } from '../jobs/JobProgress';
import type { TaskAddress } from '../jobs/TaskAddress';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { TaskName } from '../jobs/TaskName';
import type { TaskProgress } from '../jobs/TaskProgress';
import { resourceMath } from '../jobs/resourceMath';
import { endpointIncarnations } from '../jobs/endpointIncarnations';
import type { LoadSnapshot } from '../load/LoadSnapshot';
import { defaultPolicies } from './defaultPolicies';
import type { DispatchEffect } from './DispatchEffect';
import type { DispatchPolicies } from './DispatchPolicies';
import { EndpointState } from './endpoints/EndpointState';
import { EndpointLossHandler } from './endpoints/EndpointLossHandler';
import { createDeregisteredProfile } from './endpoints/createDeregisteredProfile';
import type { EndpointProfile } from './endpoints/EndpointProfile';
import { KindSpeeds } from './placing/KindSpeeds';
import { StepLimiter } from './placing/StepLimiter';
import { LiveJob } from './waiting/LiveJob';
import type { CommandResult } from './endpoints/CommandResult';
import type { PlacementOrder } from './waiting/PlacementOrder';
import { placementOrders } from './waiting/placementOrders';
import type { PlacedRun } from './runs/PlacedRun';
import { Preemptor } from './placing/Preemptor';
import { EndpointReservations } from './placing/EndpointReservations';
import { createPlacedRun } from './runs/createPlacedRun';
import { AdviceStats } from './advice/AdviceStats';
import { AdviceRequester } from './advice/AdviceRequester';
import type { AdviceSlots } from './advice/AdviceSlots';
import type { CandidateSelector } from './advice/CandidateSelector';
import { AdviceMetrics } from './advice/AdviceMetrics';
import { advicePolicies } from './advice/advicePolicies';
import { GangWatch } from './runs/GangWatch';
import type { EndpointStatus } from './endpoints/EndpointStatus';
import { StatusReconciler } from './endpoints/StatusReconciler';
import { measureLoad } from './measureLoad';
import { CapacityView } from './placing/CapacityView';
import { RunTracker } from './runs/RunTracker';
import { RunMover } from './runs/RunMover';
import { RunCommands } from './runs/RunCommands';
import { EndpointSpeeds } from './speeds/EndpointSpeeds';
import { RunLearner } from './speeds/RunLearner';
import { RunTimes } from './speeds/RunTimes';
import { EndpointPreference } from './placing/EndpointPreference';
import { EndpointQuarantine } from './stops/EndpointQuarantine';
import type { MoveCandidate } from './stops/MoveCandidate';
import { stopPolicies } from './stops/stopPolicies';
import type { PreemptionEstimate } from './stops/PreemptionEstimate';
import { SuspectCosts } from './placing/SuspectCosts';
import { StepPlacer } from './placing/StepPlacer';
import { toStepName } from './waiting/toStepName';
import type { WaitingStep } from './waiting/WaitingStep';
import { LongWaitLogger } from './waiting/LongWaitLogger';

interface DispatcherOptions extends Partial<DispatchPolicies> {
  /** Definition of any job, also of one that has ended. */
  readonly getDefinition: (id: JobId) => JobDefinition | undefined;
  /** Monotonic time until which an endpoint that has not been heard may run what earlier leaders placed there. */
  readonly earlierLeasesEndAt: number;
  /** Longest lease that an endpoint grants, in milliseconds. */
  readonly longestLeaseMs?: number;
  /** The limit of a customer in the configuration in force; where there is none, that kept with the job counts. */
  readonly getLimit?: (customer: CustomerName) => TaskDemand | undefined;
}

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

/** Of platforms that name no other. */
const DEFAULT_LONGEST_LEASE_MS = 10_000;
const UNLIMITED_TURNS: AdviceSlots = { all: Infinity, long: Infinity };

/**
 * The leader's decisions, with no clock and no socket: messages come in with the time, and what is to be done comes out by
 * `readEffects`. Room is taken when a run is chosen and freed only when its end is known.
 */
export class Dispatcher {
  private readonly books = new Map<EndpointIncarnation, EndpointState>();
  private readonly jobs = new Map<JobId, LiveJob>();
  /** What each customer has running; every book tells it of its runs. */
  private readonly usage = new CustomerUsage();
  private readonly shares = new JobRateMeter();
  private effects: DispatchEffect[] = [];
  private readonly changed = new Set<JobId>();
  private readonly order: (typeof placementOrders)[PlacementOrder];
  private readonly placer: StepPlacer;
  private readonly ledger: RunTracker;
  private readonly orders: RunCommands;
  private readonly looks: StatusReconciler;
  private readonly questions: AdviceRequester;
  private readonly adviceHistory = new AdviceStats();
  private readonly turnAccount: AdviceMetrics;
  private readonly adviceCandidates: CandidateSelector;
  private readonly mover: RunMover;
  private readonly preemptor: Preemptor;
  private readonly trust: EndpointQuarantine;
  private readonly speeds = new EndpointSpeeds();
  private readonly learner: RunLearner;
  private readonly preference: EndpointPreference;
  private readonly gangs: GangWatch;
  private readonly waits: LongWaitLogger;
  private readonly crashes: CrashTracker;
  private readonly lifeEnds: EndpointLossHandler;
  /** True when something has happened since the last round that may let work start. */
  private hasNews = false;
  /** True when the last round only asked for tickets, so that the next one has to look at all that waits. */
  private hasAskedAhead = false;
  /** True when early questions are due: they go with time, not with each message. */
  private hasTimePassed = false;
  private readonly room: CapacityView;
  private readonly reservations = new EndpointReservations();

  constructor(private readonly options: DispatcherOptions) {
    const sendEffect = (effect: DispatchEffect): void => void this.effects.push(effect);
    const ways: DispatchPolicies = { ...defaultPolicies, ...options };
    this.order = placementOrders[ways.placementOrder];
    const stops = stopPolicies[ways.stopChoice];
    const sinks = {
      handleFreed: () => {
        this.hasNews = true;
      },
      handleChanged: (job: JobId) => this.changed.add(job),
      sendEffect,
    };
    this.ledger = new RunTracker(this.books, this.jobs, sinks, stops.isMovingGangs);
    this.crashes = new CrashTracker({
      jobs: this.jobs,
      ledger: this.ledger,
      handleChanged: (job) => this.changed.add(job),
    });
    this.lifeEnds = new EndpointLossHandler({
      books: this.books,
      ledger: this.ledger,
      crashes: this.crashes,
      longestLeaseMs: options.longestLeaseMs ?? DEFAULT_LONGEST_LEASE_MS,
    });
    const { reservations } = this;
    this.room = new CapacityView(this.books, reservations);
    this.trust = new EndpointQuarantine(this.books, stops.isQuarantining);
    this.preemptor = new Preemptor({
      jobs: this.jobs,
      reservations,
      room: stops.preemption,
      handlePreempted: (book, run, step, price) => this.handlePreempted(book, run, step, price),
    });
    const { preemptor } = this;
    const limits = new StepLimiter(this.usage, options.getLimit ?? (() => undefined));
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
    const way = advicePolicies[ways.turnChoice];
    const candidates = way.createSelector({ room, preemptor, history, preference });
    this.adviceCandidates = candidates;
    this.turnAccount = new AdviceMetrics((name, amount) => sendEffect({ kind: 'count', name, amount }));
    this.questions = new AdviceRequester({
      books: this.books,
      room,
      limits,
      policy: way,
      selector: candidates,
      stats: history,
      metrics: this.turnAccount,
      sendEffect,
    });
    this.placer = new StepPlacer({
      room: this.room,
      limits,
      questions: this.questions,
      preemptor,
      reservations,
      preference,
      suspicion: new SuspectCosts(this.books, this.crashes),
      trust: this.trust,
      sendEffect,
    });
    this.mover = new RunMover({
      books: this.books,
      jobs: this.jobs,
      stops,
      readRunTime: (queue, shape) => times.getEstimate(queue, shape),
      handleMove: (candidate) => this.handleMove(candidate),
    });
    this.learner = new RunLearner({
      books: this.books,
      jobs: this.jobs,
      kinds,
      speeds,
      times,
      speedChoice,
      sendTell: (sentence, fields) => this.ledger.sendLogLine(sentence, fields),
    });
    this.orders = new RunCommands({
      books: this.books,
      jobs: this.jobs,
      ledger: this.ledger,
      handleGone: (life, now) => this.handleIncarnationEnd(life, now),
    });
    this.looks = new StatusReconciler({
      jobs: this.jobs,
      ledger: this.ledger,
      learner: this.learner,
      crashes: this.crashes,
      readDefinition: options.getDefinition,
    });
    this.waits = new LongWaitLogger(this.jobs, (sentence, fields) =>
      this.ledger.sendLogLine(sentence, fields),
    );
    this.gangs = new GangWatch(this.books, this.jobs, (book, run) =>
      this.ledger.sendStop(book, run, 'gangBroken'),
    );
  }

  /** Gives, once, everything to be done since the last call, records before the starts that need them. */
  takeEffects(): readonly DispatchEffect[] {
    const records: DispatchEffect[] = [...this.changed].map((job) => ({ kind: 'record', job }));
    const effects = [...records, ...this.effects];
    this.changed.clear();
    this.effects = [];
    return effects;
  }

  getJob(id: JobId): LiveJob | undefined {
    return this.jobs.get(id);
  }

  countJobs(): number {
    return this.jobs.size;
  }

  getUsage(): CustomerUsage {
    return this.usage;
  }

  getSpeeds(): EndpointSpeeds {
    return this.speeds;
  }

  /** Tasks that could start and wait, by customer. Looks at all open jobs. */
  countWaitingTasks(wallMs: number): ReadonlyMap<CustomerName, number> {
    const counts = new Map<CustomerName, number>();
    for (const job of this.jobs.values()) {
      const name = job.definition.customer?.name;
      if (name === undefined || job.progress.isEnded()) {
        continue;
      }
      const waiting = job.getWaitingSteps(wallMs).reduce((sum, { indexes }) => sum + indexes.length, 0);
      counts.set(name, (counts.get(name) ?? 0) + waiting);
    }
    return counts;
  }

  /** Room of all usable endpoints together, taken or not. Looks at all books. */
  readCapacity(): TaskDemand {
    let capacity = resourceMath.NOTHING;
    for (const book of this.books.values()) {
      if (book.isSchedulable()) {
        capacity = resourceMath.toSum(capacity, book.getProfile().capacity);
      }
    }
    return capacity;
  }

  /** What waits and runs. Looks at all jobs and runs. */
  computeLoad(wallMs: number): LoadSnapshot {
    const capacity = this.readCapacity();
    return measureLoad({ books: this.books.values(), jobs: this.jobs, usage: this.usage, capacity, wallMs });
  }

  getEndpointState(id: EndpointIncarnation): EndpointState | undefined {
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
        for (const [index, task] of progress.listTasks(time, step).entries()) {
          const address = { time, step, index };
          this.crashes.applyRecoveredCrashes(job, address, now);
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
  handleEndpointProfile(profile: EndpointProfile): void {
    this.hasNews = true;
    const book = this.books.get(profile.incarnation);
    if (book === undefined) {
      this.books.set(
        profile.incarnation,
        new EndpointState(profile, this.options.earlierLeasesEndAt, this.usage),
      );
      return;
    }
    book.applyProfile(profile);
  }

  /** The endpoint's record has gone: nothing new goes there; what runs there is known only by its own word or its lease. */
  handleEndpointDeregistered(id: EndpointIncarnation): void {
    const book = this.books.get(id);
    if (book !== undefined) {
      book.recordDeregistration();
      this.ledger.checkEmptyBook(book);
    }
  }

  /** The other lives of a life's endpoint that have books. Looks at all books. */
  listOtherIncarnations(life: EndpointIncarnation): readonly EndpointIncarnation[] {
    const id = endpointIncarnations.readEndpoint(life);
    return [...this.books.keys()].filter(
      (other) => other !== life && endpointIncarnations.readEndpoint(other) === id,
    );
  }

  /** The life has left, and nothing of it matters any more. */
  removeEndpointState(life: EndpointIncarnation): void {
    this.books.delete(life);
  }

  /**
   * A life is over, so that nothing that it has listed runs any more. What was sent to it and never listed may have reached the life after it,
   * or reach it still: it goes into that life's books, and the first look there that shuts out earlier orders tells what became of it.
   */
  handleIncarnationEnd(life: EndpointIncarnation, now: number, next?: EndpointIncarnation): void {
    this.lifeEnds.handleIncarnationEnd(life, now, next);
  }

  /** True while a look at an endpoint that fell silent for good may still tell whether it crashed. */
  isCrashUnconfirmed(id: EndpointIncarnation, now: number): boolean {
    return this.crashes.isCrashUnconfirmed(id, now);
  }

  /** The endpoint did not answer a look. */
  handleUnreachable(id: EndpointIncarnation, now: number): void {
    const book = this.books.get(id);
    if (book === undefined) {
      return;
    }
    if (book.getUnreachableSince() === undefined) {
      this.crashes.handleUnreachable(book, now);
    }
    book.recordUnreachable(now);
  }

  /** The endpoint answered a look: what it does not list, and was asked for after the order was answered, does not run. */
  handleStatus(answer: EndpointStatus, now: number, wallMs: number): void {
    const book = this.books.get(answer.endpoint);
    if (book === undefined) {
      return;
    }
    // Most looks show nothing but that all goes on: then no round is worth its time.
    this.hasNews ||= !book.isSchedulable();
    this.looks.applyStatus(book, answer, now, wallMs);
  }

  handleStartResult(
    id: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    answer: CommandResult,
    now: number,
  ): void {
    this.orders.handleStartAnswer(id, task, runNumber, answer, now);
  }

  handleStopResult(
    id: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    answer: CommandResult,
    now: number,
  ): void {
    this.orders.handleStopAnswer(id, task, runNumber, answer, now);
  }

  handleAdviceResponse(
    step: string,
    asked: readonly EndpointIncarnation[],
    good: ReadonlyMap<EndpointIncarnation, string> | undefined,
    now: number,
  ): void {
    const [id, time, number] = step.split('.');
    const job = this.jobs.get(id as JobId);
    this.adviceHistory.recordResponse(job?.definition.queue.name ?? '', asked, good?.size);
    this.adviceCandidates.recordResponse(step, asked);
    const validityMs = job?.definition.queue.advice?.validityMs ?? 0;
    const book = job?.getAdvice(Number(time), Number(number));
    const tookMs = book === undefined ? 0 : now - book.getRequestedAt();
    if (good === undefined) {
      this.turnAccount.recordFailure(tookMs);
    }
    const source = good && this.turnAccount.recordResponse(tookMs, now + validityMs);
    book?.recordResponse(asked, good, now, validityMs, source);
    this.hasNews = true;
  }

  /** Tells whether a start whose record is durable should still be sent; if not, its room is free again. */
  handleStartRecorded(effect: StartEffect, now: number): boolean {
    return this.orders.handleRecorded(effect, now);
  }

  /** A start could not be sent at all. */
  handleStartUnsent(effect: StartEffect, now: number): void {
    this.orders.handleUnsent(effect, now);
  }

  /** Lets time pass: leases run out, stops are repeated, repetitions fall due. */
  handleTick(now: number): void {
    this.hasNews = true;
    this.hasTimePassed = true;
    for (const book of [...this.books.values()]) {
      this.lifeEnds.checkLease(book, now);
      this.ledger.sendStopsAgain(book, now);
    }
    this.reservations.removeExpired(now);
    this.turnAccount.handleTick(now);
    this.learner.handleTick(now);
    this.mover.applyTime(now);
    this.waits.logLongWaits(now);
    this.gangs.checkAll();
    this.applyRemovals();
  }

  /** Fields of a line about each step that waits. */
  listWaits(now: number): ReturnType<LongWaitLogger['listOpenWaits']> {
    return this.waits.listOpenWaits(now);
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
  requestAdviceAhead(now: number, wallMs: number, turns = UNLIMITED_TURNS): void {
    if (!this.hasNews) {
      return;
    }
    this.hasAskedAhead = true;
    for (const step of this.startRound(now, wallMs, turns)) {
      this.placer.requestAdviceAhead(step, now);
    }
    this.placer.releaseTentative();
  }

  /** Gives back the room of starts that wait for their record; they are decided anew. */
  cancelUnrecordedStarts(now: number): void {
    this.orders.revokeUnrecorded(now);
  }

  /** Begins a round; gives what waits, in the order of placement. */
  private startRound(now: number, wallMs: number, turns: AdviceSlots): readonly WaitingStep[] {
    this.crashes.applyCrashLimits(now, wallMs);
    this.hasNews = false;
    this.room.clearCache();
    this.preemptor.setTime(now, wallMs);
    this.trust.clearCache();
    this.preference.setWallTime(wallMs);
    this.questions.startRound(turns);
    const waiting: WaitingStep[] = [];
    for (const job of this.jobs.values()) {
      if (!job.progress.isEnded()) {
        waiting.push(...job.getWaitingSteps(wallMs));
      }
    }
    return this.order.sortSteps(waiting, {
      wallMs,
      usage: this.usage,
      readCapacity: () => this.readCapacity(),
    });
  }

  private sendEarlyQuestions(now: number, wallMs: number): void {
    for (const job of this.jobs.values()) {
      this.questions.sendEarlyRequests(job, now, wallMs);
    }
  }

  private handleMove({ book, run, reason, gainMs }: MoveCandidate): void {
    const { incarnation: id } = book.getProfile();
    this.jobs.get(run.job)?.recordFailureOn(run.address.time, run.address.step, id);
    this.ledger.sendLogLine('Run is moved.', {
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

  private handlePreempted(
    book: EndpointState,
    run: PlacedRun,
    step: WaitingStep,
    price: PreemptionEstimate,
  ): void {
    this.ledger.sendLogLine('Run gives way.', {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: book.getProfile().incarnation,
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
      const profile = createDeregisteredProfile(task.endpoint, definition.queue.service);
      book = new EndpointState(profile, this.options.earlierLeasesEndAt, this.usage);
      // Whether it left by plan is not known either: it may as well have crashed before this leader read the records.
      book.recordDeregistration();
      this.books.set(task.endpoint, book);
    }
    const run = createPlacedRun(definition, address, task.run, now, {
      isCrashSuspect: isCrashSuspect(task.crashes),
    });
    run.stage = 'unconfirmed';
    run.checkpoint = task.checkpoint;
    book.addRun(run);
  }

  private applyRemovals(): void {
    for (const [id, job] of this.jobs) {
      if (job.progress.isEnded() && !this.changed.has(id)) {
        this.jobs.delete(id);
      }
    }
  }
}
