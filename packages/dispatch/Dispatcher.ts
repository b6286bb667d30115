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
import { GangMonitor } from './runs/GangMonitor';
import type { EndpointStatus } from './endpoints/EndpointStatus';
import { StatusReconciler } from './endpoints/StatusReconciler';
import { computeLoad } from './computeLoad';
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
  /** Returns the definition of any job, including ended ones. */
  readonly getDefinition: (id: JobId) => JobDefinition | undefined;
  /** Monotonic time at which leases granted by earlier leaders have expired on endpoints that are not yet synced. */
  readonly earlierLeasesEndAt: number;
  /** Longest lease that an endpoint accepts, in milliseconds. */
  readonly longestLeaseMs?: number;
  /** Returns a customer's limit in the current configuration; if undefined, the limit stored with the job applies. */
  readonly getLimit?: (customer: CustomerName) => TaskDemand | undefined;
}

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

/** For platforms that set no maximum. */
const DEFAULT_LONGEST_LEASE_MS = 10_000;
const UNLIMITED_SLOTS: AdviceSlots = { all: Infinity, long: Infinity };

/**
 * The leader's scheduler as a state machine without clock or I/O: events come in with the current time, and the side effects to
 * carry out are returned by `takeEffects`. A run takes capacity from its placement until its end is certain.
 */
export class Dispatcher {
  private readonly endpoints = new Map<EndpointIncarnation, EndpointState>();
  private readonly jobs = new Map<JobId, LiveJob>();
  /** Resources in use by customer, updated by each endpoint's state. */
  private readonly usage = new CustomerUsage();
  private readonly jobRates = new JobRateMeter();
  private effects: DispatchEffect[] = [];
  private readonly changedJobs = new Set<JobId>();
  private readonly placementOrder: (typeof placementOrders)[PlacementOrder];
  private readonly placer: StepPlacer;
  private readonly runTracker: RunTracker;
  private readonly commands: RunCommands;
  private readonly reconciler: StatusReconciler;
  private readonly adviceRequester: AdviceRequester;
  private readonly adviceStats = new AdviceStats();
  private readonly adviceMetrics: AdviceMetrics;
  private readonly adviceSelector: CandidateSelector;
  private readonly mover: RunMover;
  private readonly preemptor: Preemptor;
  private readonly quarantine: EndpointQuarantine;
  private readonly speeds = new EndpointSpeeds();
  private readonly learner: RunLearner;
  private readonly preference: EndpointPreference;
  private readonly gangMonitor: GangMonitor;
  private readonly longWaits: LongWaitLogger;
  private readonly crashes: CrashTracker;
  private readonly lossHandler: EndpointLossHandler;
  /** True when an event since the last round may allow a start. */
  private isRoundDue = false;
  /** True when the last round only requested advice, so that the next one has to run in any case. */
  private hasRequestedAhead = false;
  /** True when a tick has passed since the last early advice requests. */
  private hasTicked = false;
  private readonly capacity: CapacityView;
  private readonly reservations = new EndpointReservations();

  constructor(private readonly options: DispatcherOptions) {
    const sendEffect = (effect: DispatchEffect): void => void this.effects.push(effect);
    const policies: DispatchPolicies = { ...defaultPolicies, ...options };
    this.placementOrder = placementOrders[policies.placementOrder];
    const stops = stopPolicies[policies.stopChoice];
    const callbacks = {
      handleFreed: () => {
        this.isRoundDue = true;
      },
      handleChanged: (job: JobId) => this.changedJobs.add(job),
      sendEffect,
    };
    this.runTracker = new RunTracker(this.endpoints, this.jobs, callbacks, stops.isEvictingGangs);
    this.crashes = new CrashTracker({
      jobs: this.jobs,
      tracker: this.runTracker,
      handleProgressChange: (job) => this.changedJobs.add(job),
    });
    this.lossHandler = new EndpointLossHandler({
      endpoints: this.endpoints,
      tracker: this.runTracker,
      crashes: this.crashes,
      longestLeaseMs: options.longestLeaseMs ?? DEFAULT_LONGEST_LEASE_MS,
    });
    const { reservations } = this;
    this.capacity = new CapacityView(this.endpoints, reservations);
    this.quarantine = new EndpointQuarantine(this.endpoints, stops.isQuarantining);
    this.preemptor = new Preemptor({
      jobs: this.jobs,
      reservations,
      rules: stops.preemption,
      handlePreempted: (endpoint, run, step, estimate) => this.handlePreempted(endpoint, run, step, estimate),
    });
    const { preemptor } = this;
    const limits = new StepLimiter(this.usage, options.getLimit ?? (() => undefined));
    const kinds = new KindSpeeds();
    const { speeds } = this;
    const times = new RunTimes();
    const { speedChoice, hallChoice } = policies;
    const preference = new EndpointPreference({
      kinds,
      speeds,
      times,
      capacity: this.capacity,
      speedChoice,
      hallChoice,
    });
    this.preference = preference;
    const { capacity: room, adviceStats: history } = this;
    const policy = advicePolicies[policies.turnChoice];
    const selector = policy.createSelector({ capacity: room, preemptor, stats: history, preference });
    this.adviceSelector = selector;
    this.adviceMetrics = new AdviceMetrics((name, amount) => sendEffect({ kind: 'count', name, amount }));
    this.adviceRequester = new AdviceRequester({
      endpoints: this.endpoints,
      capacity: room,
      limits,
      policy,
      selector,
      stats: history,
      metrics: this.adviceMetrics,
      sendEffect,
    });
    this.placer = new StepPlacer({
      capacity: this.capacity,
      limiter: limits,
      advice: this.adviceRequester,
      preemptor,
      reservations,
      preference,
      suspectCosts: new SuspectCosts(this.endpoints, this.crashes),
      quarantine: this.quarantine,
      sendEffect,
    });
    this.mover = new RunMover({
      endpoints: this.endpoints,
      jobs: this.jobs,
      stops,
      estimateRunTime: (queue, shape) => times.getEstimate(queue, shape),
      handleMove: (candidate) => this.handleMove(candidate),
    });
    this.learner = new RunLearner({
      endpoints: this.endpoints,
      jobs: this.jobs,
      kinds,
      speeds,
      times,
      speedPolicy: speedChoice,
      sendLogLine: (message, fields) => this.runTracker.sendLogLine(message, fields),
    });
    this.commands = new RunCommands({
      endpoints: this.endpoints,
      jobs: this.jobs,
      runTracker: this.runTracker,
      handleIncarnationEnd: (incarnation, now) => this.handleIncarnationEnd(incarnation, now),
    });
    this.reconciler = new StatusReconciler({
      jobs: this.jobs,
      tracker: this.runTracker,
      learner: this.learner,
      crashes: this.crashes,
      getDefinition: options.getDefinition,
    });
    this.longWaits = new LongWaitLogger(this.jobs, (message, fields) =>
      this.runTracker.sendLogLine(message, fields),
    );
    this.gangMonitor = new GangMonitor(this.endpoints, this.jobs, (endpoint, run) =>
      this.runTracker.sendStop(endpoint, run, 'gangBroken'),
    );
  }

  /** Returns and clears the pending effects; records come before the starts that depend on them. */
  takeEffects(): readonly DispatchEffect[] {
    const records: DispatchEffect[] = [...this.changedJobs].map((job) => ({ kind: 'record', job }));
    const effects = [...records, ...this.effects];
    this.changedJobs.clear();
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

  /** Counts the tasks that are ready and not placed, by customer. Iterates over all jobs. */
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

  /** Computes the total capacity of all schedulable endpoints. Iterates over all endpoints. */
  computeCapacity(): TaskDemand {
    let capacity = resourceMath.ZERO;
    for (const endpoint of this.endpoints.values()) {
      if (endpoint.isSchedulable()) {
        capacity = resourceMath.computeSum(capacity, endpoint.getProfile().capacity);
      }
    }
    return capacity;
  }

  /** Computes a snapshot of waiting and running work. Iterates over all jobs and runs. */
  computeLoad(wallMs: number): LoadSnapshot {
    const capacity = this.computeCapacity();
    return computeLoad({
      endpoints: this.endpoints.values(),
      jobs: this.jobs,
      usage: this.usage,
      capacity,
      wallMs,
    });
  }

  getEndpointState(incarnation: EndpointIncarnation): EndpointState | undefined {
    return this.endpoints.get(incarnation);
  }

  /**
   * Adds a job. Jobs have to come in the order of acceptance, including ended ones, since they count against their customer's
   * share. Tasks that are placed according to the progress may be running until their endpoint is synced.
   */
  handleJob(definition: JobDefinition, progress: JobProgress, now: number): void {
    if (this.jobs.has(definition.id)) {
      return;
    }
    const { customer, acceptedAtMs } = definition;
    const isOverShare = customer !== undefined && this.jobRates.recordJob(customer, acceptedAtMs);
    if (progress.isEnded()) {
      return;
    }
    const job = new LiveJob(definition, progress, now, isOverShare);
    this.jobs.set(definition.id, job);
    this.capacity.recordQueue(definition.queue);
    this.isRoundDue = true;
    for (let time = 0; time < definition.times; time += 1) {
      for (const [step] of definition.steps.entries()) {
        for (const [index, task] of progress.listTasks(time, step).entries()) {
          const address = { repetition: time, step, index };
          this.crashes.applyRecoveredCrashes(job, address, now);
          if (task.phase === 'placed') {
            this.addRecoveredRun(job, address, task, now);
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
    this.runTracker.recordJobEnd(job, 'cancelled', wallMs);
  }

  /** Applies the profile of a new or changed endpoint. */
  handleEndpointProfile(profile: EndpointProfile): void {
    this.isRoundDue = true;
    const endpoint = this.endpoints.get(profile.incarnation);
    if (endpoint === undefined) {
      this.endpoints.set(
        profile.incarnation,
        new EndpointState(profile, this.options.earlierLeasesEndAt, this.usage),
      );
      return;
    }
    endpoint.applyProfile(profile);
  }

  /**
   * Marks an endpoint as deregistered, since its record was deleted. It gets no more starts; its runs go on until it reports their
   * ends or its lease expires.
   */
  handleEndpointDeregistered(incarnation: EndpointIncarnation): void {
    const endpoint = this.endpoints.get(incarnation);
    if (endpoint !== undefined) {
      endpoint.recordDeregistration();
      this.runTracker.removeUnusedEndpoint(endpoint);
    }
  }

  /** Lists the known other incarnations of the same endpoint. Iterates over all endpoints. */
  listOtherIncarnations(incarnation: EndpointIncarnation): readonly EndpointIncarnation[] {
    const id = endpointIncarnations.toEndpointId(incarnation);
    return [...this.endpoints.keys()].filter(
      (other) => other !== incarnation && endpointIncarnations.toEndpointId(other) === id,
    );
  }

  /** Removes the state of an incarnation that no longer matters. */
  removeEndpointState(incarnation: EndpointIncarnation): void {
    this.endpoints.delete(incarnation);
  }

  /**
   * Ends the runs that the ended incarnation has reported. A run that it never reported may have reached, or may yet reach, the
   * `next` incarnation: it is transferred there, and the first poll of that incarnation that fences earlier commands shows whether
   * it runs.
   */
  handleIncarnationEnd(incarnation: EndpointIncarnation, now: number, next?: EndpointIncarnation): void {
    this.lossHandler.handleIncarnationEnd(incarnation, now, next);
  }

  /** Returns true while a poll may still show whether an endpoint that was unreachable until its lease expired has crashed. */
  isCrashUnconfirmed(incarnation: EndpointIncarnation, now: number): boolean {
    return this.crashes.isCrashUnconfirmed(incarnation, now);
  }

  /** Marks an endpoint as unreachable, since it did not respond to a poll. */
  handleUnreachable(incarnation: EndpointIncarnation, now: number): void {
    const endpoint = this.endpoints.get(incarnation);
    if (endpoint === undefined) {
      return;
    }
    if (endpoint.getUnreachableSince() === undefined) {
      this.crashes.handleUnreachable(endpoint, now);
    }
    endpoint.recordUnreachable(now);
  }

  /**
   * Applies the status that an endpoint returned to a poll. A run that was confirmed before the poll was sent has ended if the status
   * does not list it.
   */
  handleStatus(status: EndpointStatus, now: number, wallMs: number): void {
    const endpoint = this.endpoints.get(status.endpoint);
    if (endpoint === undefined) {
      return;
    }
    // Most polls show no change, so a poll alone does not make a round due.
    this.isRoundDue ||= !endpoint.isSchedulable();
    this.reconciler.applyStatus(endpoint, status, now, wallMs);
  }

  handleStartResult(
    incarnation: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    result: CommandResult,
    now: number,
  ): void {
    this.commands.handleStartResult(incarnation, task, runNumber, result, now);
  }

  handleStopResult(
    incarnation: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    result: CommandResult,
    now: number,
  ): void {
    this.commands.handleStopResult(incarnation, task, runNumber, result, now);
  }

  /** Applies the response to an advice request. Without `tickets` the request has failed. */
  handleAdviceResponse(
    step: string,
    requested: readonly EndpointIncarnation[],
    tickets: ReadonlyMap<EndpointIncarnation, string> | undefined,
    now: number,
  ): void {
    const [id, time, index] = step.split('.');
    const job = this.jobs.get(id as JobId);
    this.adviceStats.recordResponse(job?.definition.queue.name ?? '', requested, tickets?.size);
    this.adviceSelector.recordResponse(step, requested);
    const validityMs = job?.definition.queue.advice?.validityMs ?? 0;
    const advice = job?.getAdvice(Number(time), Number(index));
    const tookMs = advice === undefined ? 0 : now - advice.getRequestedAt();
    if (tickets === undefined) {
      this.adviceMetrics.recordFailure(tookMs);
    }
    const source = tickets && this.adviceMetrics.recordResponse(tookMs, now + validityMs);
    advice?.recordResponse(requested, tickets, now, validityMs, source);
    this.isRoundDue = true;
  }

  /** Returns whether to send a start whose record is durable; if not, its capacity is released. */
  handleStartRecorded(effect: StartEffect, now: number): boolean {
    return this.commands.handleStartRecorded(effect, now);
  }

  /** Releases the capacity of a start that could not be sent. */
  handleStartUnsent(effect: StartEffect, now: number): void {
    this.commands.handleStartUnsent(effect, now);
  }

  /** Runs periodic work: expires leases, retries stops, moves runs, removes ended jobs. */
  handleTick(now: number): void {
    this.isRoundDue = true;
    this.hasTicked = true;
    for (const endpoint of [...this.endpoints.values()]) {
      this.lossHandler.handleLeaseExpiry(endpoint, now);
      this.runTracker.retryStops(endpoint, now);
    }
    this.reservations.removeExpired(now);
    this.adviceMetrics.handleTick(now);
    this.learner.handleTick(now);
    this.mover.handleTick(now);
    this.longWaits.logLongWaits(now);
    this.gangMonitor.checkAll();
    this.removeEndedJobs();
  }

  /** Returns the log fields of each step that waits. */
  listWaits(now: number): ReturnType<LongWaitLogger['listOpenWaits']> {
    return this.longWaits.listOpenWaits(now);
  }

  /** Runs a scheduling round: places waiting tasks, if an event since the last round may allow a start. */
  placeWaiting(now: number, wallMs: number, slots = UNLIMITED_SLOTS): void {
    if (!this.isRoundDue && !this.hasRequestedAhead) {
      return;
    }
    this.hasRequestedAhead = false;
    for (const step of this.startRound(now, wallMs, slots)) {
      if (this.placer.placeStep(step, now)) {
        this.changedJobs.add(step.job.definition.id);
      }
    }
    if (this.hasTicked) {
      this.hasTicked = false;
      this.sendEarlyRequests(now, wallMs);
    }
  }

  /**
   * Replaces `placeWaiting` while the log is unavailable and no start can be recorded: requests the tickets that the first steps to
   * be placed will need, and renews expired ones.
   */
  requestAdviceAhead(now: number, wallMs: number, slots = UNLIMITED_SLOTS): void {
    if (!this.isRoundDue) {
      return;
    }
    this.hasRequestedAhead = true;
    for (const step of this.startRound(now, wallMs, slots)) {
      this.placer.requestAdviceAhead(step, now);
    }
    this.placer.releaseTentative();
  }

  /** Cancels the starts whose records are not durable yet, so that their tasks are placed again. */
  cancelUnrecordedStarts(now: number): void {
    this.commands.cancelUnrecordedStarts(now);
  }

  /** Prepares a scheduling round and returns the waiting steps in placement order. */
  private startRound(now: number, wallMs: number, slots: AdviceSlots): readonly WaitingStep[] {
    this.crashes.applyCrashLimits(now, wallMs);
    this.isRoundDue = false;
    this.capacity.clearCache();
    this.preemptor.setTime(now, wallMs);
    this.quarantine.clearCache();
    this.preference.setWallTime(wallMs);
    this.adviceRequester.startRound(slots);
    const waiting: WaitingStep[] = [];
    for (const job of this.jobs.values()) {
      if (!job.progress.isEnded()) {
        waiting.push(...job.getWaitingSteps(wallMs));
      }
    }
    return this.placementOrder.sortSteps(waiting, {
      wallMs,
      usage: this.usage,
      getCapacity: () => this.computeCapacity(),
    });
  }

  private sendEarlyRequests(now: number, wallMs: number): void {
    for (const job of this.jobs.values()) {
      this.adviceRequester.sendEarlyRequests(job, now, wallMs);
    }
  }

  private handleMove({ book: endpoint, run, reason, gainMs }: MoveCandidate): void {
    const { incarnation } = endpoint.getProfile();
    this.jobs.get(run.job)?.recordFailureOn(run.address.repetition, run.address.step, incarnation);
    this.runTracker.sendLogLine('Run is moved.', {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: incarnation,
      reason,
      percent: run.percent,
      gainMs: Math.round(gainMs),
    });
    this.runTracker.sendStop(endpoint, run, reason);
  }

  private handlePreempted(
    endpoint: EndpointState,
    run: PlacedRun,
    step: WaitingStep,
    estimate: PreemptionEstimate,
  ): void {
    this.runTracker.sendLogLine('Run gives way.', {
      job: run.job,
      task: run.task,
      run: run.run,
      endpoint: endpoint.getProfile().incarnation,
      percent: run.percent,
      priority: run.priority,
      for: toStepName(step),
      ...estimate,
    });
    this.runTracker.sendStop(endpoint, run, 'gaveWay');
  }

  private addRecoveredRun(job: LiveJob, address: TaskAddress, task: TaskProgress, now: number): void {
    const { definition } = job;
    let endpoint = this.endpoints.get(task.endpoint);
    if (endpoint === undefined) {
      // The endpoint has no record, but may be partitioned and keep the run until its lease expires.
      const profile = createDeregisteredProfile(task.endpoint, definition.queue.service);
      endpoint = new EndpointState(profile, this.options.earlierLeasesEndAt, this.usage);
      // It may have left as planned or crashed before this leader read the records.
      endpoint.recordDeregistration();
      this.endpoints.set(task.endpoint, endpoint);
    }
    const run = createPlacedRun(definition, address, task.run, now, {
      isCrashSuspect: isCrashSuspect(task.crashes),
    });
    run.stage = 'unconfirmed';
    run.checkpoint = task.checkpoint;
    endpoint.addRun(run);
  }

  private removeEndedJobs(): void {
    for (const [id, job] of this.jobs) {
      if (job.progress.isEnded() && !this.changedJobs.has(id)) {
        this.jobs.delete(id);
      }
    }
  }
}
