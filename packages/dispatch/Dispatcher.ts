import { CrashTracker } from './crashes/CrashTracker';
import type { CustomerName } from '../customers/CustomerName';
import { CustomerUsage } from '../customers/CustomerUsage';
import { JobRateMeter } from '../customers/JobRateMeter';
import type { EndpointIncarnation } from '../jobs/EndpointIncarnation';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import type { JobQueue } from '../jobs/JobQueue';
import type { JobProgress } from '../jobs/JobProgress';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { TaskName } from '../jobs/TaskName';
import { resourceMath } from '../jobs/resourceMath';
import { ExtendedLeases } from '../leadership/ExtendedLeases';
import { endpointIncarnations } from '../jobs/endpointIncarnations';
import type { LoadSnapshot } from '../load/LoadSnapshot';
import { defaultPolicies } from './defaultPolicies';
import type { DispatchEffect } from './DispatchEffect';
import type { DispatchPolicies } from './DispatchPolicies';
import { EndpointState } from './endpoints/EndpointState';
import { EndpointLossHandler } from './endpoints/EndpointLossHandler';
import type { EndpointProfile } from './endpoints/EndpointProfile';
import { LabelSlowdowns } from './placing/LabelSlowdowns';
import { StepLimiter } from './placing/StepLimiter';
import { LiveJob } from './waiting/LiveJob';
import type { CommandResult } from './endpoints/CommandResult';
import type { PlacementOrder } from './waiting/PlacementOrder';
import { placementOrders } from './waiting/placementOrders';
import type { PlacedRun } from './runs/PlacedRun';
import { Preemptor } from './placing/Preemptor';
import { EndpointReservations } from './placing/EndpointReservations';
import { RunBudget } from './placing/RunBudget';
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
import { RunCounts } from './runs/RunCounts';
import { RunTracker } from './runs/RunTracker';
import { RunMover } from './runs/RunMover';
import { RunRecovery } from './runs/RunRecovery';
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
import { JobPolicies } from './waiting/JobPolicies';
import { LongWaitLogger } from './waiting/LongWaitLogger';

interface DispatcherOptions extends Partial<DispatchPolicies> {
  /** Returns the definition of any accepted job, including ended ones; undefined for an unknown id. */
  readonly getDefinition: (id: JobId) => JobDefinition | undefined;
  /** Monotonic time at which leases granted by earlier leaders have expired on endpoints that are not yet synced. */
  readonly earlierLeasesEndAt: number;
  /** Longest lease that an endpoint accepts, in milliseconds; `DEFAULT_LONGEST_LEASE_MS` if not given. */
  readonly longestLeaseMs?: number;
  /** Extended leases that earlier leaders have named, to which the dispatcher adds those that it finds; none if not given. */
  readonly extendedLeases?: ExtendedLeases;
  /** Returns a customer's limit in the current configuration; if undefined, the limit stored with the job applies. */
  readonly getCustomerLimit?: (customer: CustomerName) => TaskDemand | undefined;
}

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

/** Longest lease that an endpoint accepts, in milliseconds, unless the options give another. */
const DEFAULT_LONGEST_LEASE_MS = 10_000;
const UNLIMITED_ADVICE_SLOTS: AdviceSlots = { all: Infinity, long: Infinity, quarantined: 0 };

/**
 * The leader's scheduler as a state machine without clock or I/O: events come in with the current time, and the side effects to
 * carry out are returned by `takeEffects`. A run takes capacity of its endpoint from its placement until its end is certain.
 */
export class Dispatcher {
  private readonly endpoints = new Map<EndpointIncarnation, EndpointState>();
  private readonly jobs = new Map<JobId, LiveJob>();
  /** Resources in use by each customer's runs, kept up to date by the `EndpointState`s. */
  private readonly customerUsage = new CustomerUsage();
  private readonly runCounts = new RunCounts();
  private readonly runBudget = new RunBudget(this.endpoints, this.runCounts);
  /** Finds the jobs that are over their customer's share of jobs per second. */
  private readonly jobRateMeter = new JobRateMeter();
  private pendingEffects: DispatchEffect[] = [];
  /** Jobs whose progress has changed since the last `takeEffects` and has to be recorded. */
  private readonly changedJobs = new Set<JobId>();
  private readonly placementOrder: (typeof placementOrders)[PlacementOrder];
  private readonly stepPlacer: StepPlacer;
  private readonly runTracker: RunTracker;
  private readonly runCommands: RunCommands;
  private readonly statusReconciler: StatusReconciler;
  private readonly adviceRequester: AdviceRequester;
  private readonly adviceStats = new AdviceStats();
  private readonly adviceMetrics: AdviceMetrics;
  private readonly adviceCandidateSelector: CandidateSelector;
  private readonly runMover: RunMover;
  private readonly preemptor: Preemptor;
  private readonly endpointQuarantine: EndpointQuarantine;
  private readonly endpointSpeeds = new EndpointSpeeds();
  private readonly runLearner: RunLearner;
  private readonly endpointPreference: EndpointPreference;
  private readonly gangMonitor: GangMonitor;
  private readonly longWaitLogger: LongWaitLogger;
  private readonly crashTracker: CrashTracker;
  private readonly endpointLossHandler: EndpointLossHandler;
  /** True when an event since the last scheduling round may allow a start, so that the next round is not skipped. */
  private isRoundDue = false;
  /** True after a round that requested advice but placed nothing, so that the next `placeWaiting` must not be skipped. */
  private hasOnlyRequestedAdvice = false;
  /** True when a tick has passed since `placeWaiting` last sent early advice requests, which it does at most once a tick. */
  private isEarlyAdviceDue = false;
  /** Monotonic time at which leases granted by earlier leaders have expired on endpoints that are not yet synced. */
  private earlierLeasesEndAt: number;
  private readonly capacityView: CapacityView;
  private readonly reservations = new EndpointReservations();
  private readonly extendedLeases: ExtendedLeases;
  private readonly jobPolicies: JobPolicies;
  private readonly runRecovery: RunRecovery;

  constructor(private readonly options: DispatcherOptions) {
    this.earlierLeasesEndAt = options.earlierLeasesEndAt;
    this.extendedLeases = options.extendedLeases ?? new ExtendedLeases();
    const sendEffect = (effect: DispatchEffect): void => void this.pendingEffects.push(effect);
    const policies: DispatchPolicies = { ...defaultPolicies, ...options };
    this.placementOrder = placementOrders[policies.placementOrder];
    const stopPolicy = stopPolicies[policies.stopChoice];
    const runCallbacks = {
      handleCapacityReleased: () => {
        this.isRoundDue = true;
      },
      handleProgressChanged: (job: JobId) => this.changedJobs.add(job),
      sendEffect,
    };
    this.runTracker = new RunTracker(this.endpoints, this.jobs, runCallbacks, stopPolicy.isEvictingGangs);
    this.crashTracker = new CrashTracker({
      jobs: this.jobs,
      tracker: this.runTracker,
      handleProgressChange: (job) => this.changedJobs.add(job),
    });
    this.endpointLossHandler = new EndpointLossHandler({
      endpoints: this.endpoints,
      tracker: this.runTracker,
      crashes: this.crashTracker,
      extendedLeases: this.extendedLeases,
      longestLeaseMs: options.longestLeaseMs ?? DEFAULT_LONGEST_LEASE_MS,
      sendEffect,
    });
    const { reservations } = this;
    this.capacityView = new CapacityView(this.endpoints, reservations);
    this.endpointQuarantine = new EndpointQuarantine(this.endpoints, stopPolicy.isQuarantineEnabled);
    this.preemptor = new Preemptor({
      endpoints: this.endpoints,
      jobs: this.jobs,
      reservations,
      preemptionRules: stopPolicy.preemptionRules,
      handleRunPreempted: (endpoint, run, step, estimate) =>
        this.handlePreempted(endpoint, run, step, estimate),
    });
    const { preemptor } = this;
    const limiter = new StepLimiter(this.customerUsage, options.getCustomerLimit ?? (() => undefined));
    const labelSlowdowns = new LabelSlowdowns();
    const { endpointSpeeds } = this;
    const runTimes = new RunTimes();
    const { speedChoice, hallChoice } = policies;
    const endpointPreference = new EndpointPreference({
      labelSlowdowns,
      endpointSpeeds,
      runTimes,
      capacityView: this.capacityView,
      speedPolicy: speedChoice,
      hallPolicy: hallChoice,
    });
    this.endpointPreference = endpointPreference;
    const { capacityView, adviceStats } = this;
    const advicePolicy = advicePolicies[policies.turnChoice];
    const adviceCandidateSelector = advicePolicy.createSelector({
      capacityView,
      preemptor,
      stats: adviceStats,
      preference: endpointPreference,
    });
    this.adviceCandidateSelector = adviceCandidateSelector;
    this.adviceMetrics = new AdviceMetrics((name, amount) => sendEffect({ kind: 'count', name, amount }));
    this.adviceRequester = new AdviceRequester({
      endpoints: this.endpoints,
      capacityView,
      limiter,
      policy: advicePolicy,
      selector: adviceCandidateSelector,
      stats: adviceStats,
      metrics: this.adviceMetrics,
      sendEffect,
    });
    this.stepPlacer = new StepPlacer({
      capacityView: this.capacityView,
      stepLimiter: limiter,
      runBudget: this.runBudget,
      adviceRequester: this.adviceRequester,
      preemptor,
      reservations,
      preference: endpointPreference,
      suspectCosts: new SuspectCosts(this.endpoints, this.crashTracker),
      quarantine: this.endpointQuarantine,
      sendEffect,
    });
    this.runMover = new RunMover({
      endpoints: this.endpoints,
      jobs: this.jobs,
      stopPolicy,
      estimateRunTime: (queue, shape) => runTimes.getEstimate(queue, shape),
      handleRunMove: (candidate) => this.handleRunMove(candidate),
    });
    this.runLearner = new RunLearner({
      endpoints: this.endpoints,
      jobs: this.jobs,
      labelSlowdowns,
      speeds: endpointSpeeds,
      runTimes,
      speedPolicy: speedChoice,
      sendLogLine: (message, fields) => this.runTracker.sendLogLine(message, fields),
    });
    this.runCommands = new RunCommands({
      endpoints: this.endpoints,
      jobs: this.jobs,
      runTracker: this.runTracker,
      handleIncarnationEnd: (incarnation, now) => this.handleIncarnationEnd(incarnation, now),
    });
    this.statusReconciler = new StatusReconciler({
      jobs: this.jobs,
      tracker: this.runTracker,
      learner: this.runLearner,
      crashes: this.crashTracker,
      getDefinition: options.getDefinition,
    });
    this.jobPolicies = new JobPolicies({
      jobs: this.jobs,
      endpoints: this.endpoints,
      capacityView,
      reservations,
      tracker: this.runTracker,
    });
    this.runRecovery = new RunRecovery({
      endpoints: this.endpoints,
      crashTracker: this.crashTracker,
      createEndpointState: (profile) => this.createEndpointState(profile),
    });
    this.longWaitLogger = new LongWaitLogger(this.jobs, (message, fields) =>
      this.runTracker.sendLogLine(message, fields),
    );
    this.gangMonitor = new GangMonitor(this.endpoints, this.jobs, (endpoint, run) =>
      this.runTracker.sendStop(endpoint, run, 'gangBroken'),
    );
  }

  /** Returns the pending effects, with a record for each changed job before all others, and clears them. */
  takeEffects(): readonly DispatchEffect[] {
    const records: DispatchEffect[] = [...this.changedJobs].map((job) => ({ kind: 'record', job }));
    const effects = [...records, ...this.pendingEffects];
    this.changedJobs.clear();
    this.pendingEffects = [];
    return effects;
  }

  getJob(id: JobId): LiveJob | undefined {
    return this.jobs.get(id);
  }

  countJobs(): number {
    return this.jobs.size;
  }

  getCustomerUsage(): CustomerUsage {
    return this.customerUsage;
  }

  getEndpointSpeeds(): EndpointSpeeds {
    return this.endpointSpeeds;
  }

  /** Counts the tasks that are ready and not placed, by customer. Leaves out jobs without a customer. Iterates over all jobs. */
  countWaitingTasks(wallMs: number): ReadonlyMap<CustomerName, number> {
    const counts = new Map<CustomerName, number>();
    for (const job of this.jobs.values()) {
      const name = job.definition.customer?.name;
      if (name === undefined || job.progress.isEnded()) {
        continue;
      }
      const waiting = job
        .getWaitingSteps(wallMs)
        .reduce((sum, { repetition, step }) => sum + job.progress.countWaitingTasks(repetition, step), 0);
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
      usage: this.customerUsage,
      capacity,
      wallMs,
    });
  }

  /** Sets an earlier monotonic time at which all leases of earlier leaders have expired. */
  setEarlierLeasesEnd(endAt: number): void {
    this.earlierLeasesEndAt = endAt;
    for (const endpoint of this.endpoints.values()) {
      endpoint.setEarlierLeasesEnd(endAt);
    }
  }

  /** Makes a round due, since later leaders know of extended leases that were pending: tasks may be placed on these endpoints. */
  handleExtendedLeasesWritten(): void {
    this.isRoundDue = true;
  }

  getEndpointState(incarnation: EndpointIncarnation): EndpointState | undefined {
    return this.endpoints.get(incarnation);
  }

  /**
   * Adds a job with its recovered progress, unless it is known. Jobs have to be added in the order of acceptance. An ended one
   * only counts against its customer's share of jobs per second. Each placed task of the progress becomes an unconfirmed run.
   */
  handleJob(definition: JobDefinition, progress: JobProgress, now: number): void {
    if (this.jobs.has(definition.id)) {
      return;
    }
    const { customer, acceptedAtMs } = definition;
    const isOverShare = customer !== undefined && this.jobRateMeter.recordJob(customer, acceptedAtMs);
    if (progress.isEnded()) {
      return;
    }
    const job = new LiveJob(definition, progress, now, isOverShare);
    this.jobs.set(definition.id, job);
    this.jobPolicies.applyCurrentPolicy(job);
    this.isRoundDue = true;
    this.runRecovery.addRecoveredRuns(job, now);
  }

  /**
   * Applies the policies of the queues in a version of the configuration to all jobs, and makes a round due (see `JobPolicies.applyVersion`). Ignores a
   * version that is not newer.
   */
  handleQueuePolicies(version: number, queues: readonly JobQueue[], wallMs: number): void {
    if (this.jobPolicies.applyVersion(version, queues, wallMs)) {
      this.isRoundDue = true;
    }
  }

  /** Fails a job of which a waiting task has used up its attempts. Does nothing if the job is unknown or has ended. */
  applyAttemptsLimit(id: JobId, wallMs: number): void {
    this.jobPolicies.applyAttemptsLimit(id, wallMs);
  }

  /** Ends a job as failed, since its progress cannot be recorded, and stops its runs. Does nothing if the job is unknown or has ended. */
  handleUnwritableJob(id: JobId, wallMs: number): void {
    const job = this.jobs.get(id);
    if (job !== undefined) {
      this.runTracker.recordJobEnd(job, 'failed', wallMs);
    }
  }

  /** Ends a job as cancelled and stops its runs. Does nothing if the job is unknown or has ended. */
  handleCancel(id: JobId, wallMs: number): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.progress.isEnded()) {
      return;
    }
    job.isCancelled = true;
    this.runTracker.recordJobEnd(job, 'cancelled', wallMs);
  }

  /** Adds an endpoint's incarnation with its profile, or applies a changed profile to a known one; makes a round due. */
  handleEndpointProfile(profile: EndpointProfile): void {
    this.isRoundDue = true;
    const endpoint = this.endpoints.get(profile.incarnation);
    if (endpoint === undefined) {
      this.endpoints.set(profile.incarnation, this.createEndpointState(profile));
      return;
    }
    endpoint.applyProfile(profile);
  }

  /**
   * Marks an endpoint as deregistered, since its record was deleted, and removes its state if it has no address and no runs. It
   * gets no more starts; its runs go on until it reports their ends or its lease expires.
   */
  handleEndpointDeregistered(incarnation: EndpointIncarnation): void {
    const endpoint = this.endpoints.get(incarnation);
    if (endpoint !== undefined) {
      endpoint.recordDeregistration();
      this.runTracker.removeUnusedEndpoint(endpoint);
    }
  }

  /** Lists the other incarnations with the same endpoint id that the dispatcher has a state of. Iterates over all endpoints. */
  listOtherIncarnations(incarnation: EndpointIncarnation): readonly EndpointIncarnation[] {
    const id = endpointIncarnations.toEndpointId(incarnation);
    return [...this.endpoints.keys()].filter(
      (other) => other !== incarnation && endpointIncarnations.toEndpointId(other) === id,
    );
  }

  /** Removes the state of an incarnation, without ending its runs. */
  removeEndpointState(incarnation: EndpointIncarnation): void {
    this.endpoints.delete(incarnation);
  }

  /**
   * Removes an incarnation that has ended, and ends its runs. A run that was sent to it but that no poll has listed may have
   * reached, or may yet reach, the `next` incarnation, if that is given and known: it is transferred there, and the first poll of
   * that incarnation that fences earlier commands shows whether it runs. Does nothing for an unknown incarnation.
   */
  handleIncarnationEnd(incarnation: EndpointIncarnation, now: number, next?: EndpointIncarnation): void {
    this.endpointLossHandler.handleIncarnationEnd(incarnation, now, next);
  }

  /** Records that a call to an incarnation may have given the next one a lease beyond the usual length, by the earlier clock. */
  recordExtendedLease(next: EndpointIncarnation, earlier: EndpointIncarnation, now: number): void {
    this.endpointLossHandler.recordExtendedLease(next, earlier, now);
  }

  /** Returns true while a poll may still show whether an endpoint whose lease expired while it was unreachable has crashed. */
  isCrashUnconfirmed(incarnation: EndpointIncarnation, now: number): boolean {
    return this.crashTracker.isCrashUnconfirmed(incarnation, now);
  }

  /** Marks an endpoint as unreachable, since it did not respond to a poll; if it was reachable before, notifies the crash tracker. */
  handleEndpointUnreachable(incarnation: EndpointIncarnation, now: number): void {
    const endpoint = this.endpoints.get(incarnation);
    if (endpoint === undefined) {
      return;
    }
    if (endpoint.getUnreachableSince() === undefined) {
      this.crashTracker.handleUnreachable(endpoint, now);
    }
    endpoint.recordUnreachable(now);
  }

  /**
   * Applies the status that an endpoint returned to a poll: the ends and the progress of its runs. A run that was confirmed before
   * the poll was sent has ended if the status does not list it. Makes a round due if the endpoint was not schedulable.
   */
  handleStatus(status: EndpointStatus, now: number, wallMs: number): void {
    const endpoint = this.endpoints.get(status.endpoint);
    if (endpoint === undefined) {
      return;
    }
    // Most polls show no change, so a poll alone does not make a round due.
    this.isRoundDue ||= !endpoint.isSchedulable();
    this.statusReconciler.applyStatus(endpoint, status, now, wallMs);
  }

  /** Applies the result of a start command. Does nothing if the run's stage has changed since the command was sent. */
  handleStartResult(
    incarnation: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    result: CommandResult,
    now: number,
  ): void {
    this.runCommands.handleStartResult(incarnation, task, runNumber, result, now);
  }

  /** Records a response to a stop command, or ends the incarnation if the result is `gone`. Ignores other results. */
  handleStopResult(
    incarnation: EndpointIncarnation,
    task: TaskName,
    runNumber: number,
    result: CommandResult,
    now: number,
  ): void {
    this.runCommands.handleStopResult(incarnation, task, runNumber, result, now);
  }

  /** Applies the response to an advice request and makes a round due. `tickets` is undefined when the request has failed. */
  handleAdviceResponse(
    step: string,
    requested: readonly EndpointIncarnation[],
    tickets: ReadonlyMap<EndpointIncarnation, string> | undefined,
    now: number,
  ): void {
    const [id, repetition, index] = step.split('.');
    const job = this.jobs.get(id as JobId);
    this.adviceStats.recordResponse(job?.getQueue().name ?? '', requested, tickets?.size);
    this.adviceCandidateSelector.recordResponse(step, requested);
    const validityMs = job?.getQueue().advice?.validityMs ?? 0;
    const advice = job?.getStepAdvice(Number(repetition), Number(index));
    const tookMs = advice === undefined ? 0 : now - advice.getLastRequestedAt();
    this.adviceRequester.recordRequestEnd(step, tookMs);
    if (tickets === undefined) {
      this.adviceMetrics.recordFailure(tookMs);
    }
    const source = tickets && this.adviceMetrics.recordResponse(tookMs, now + validityMs);
    advice?.recordResponse(requested, tickets, now, validityMs, source);
    this.isRoundDue = true;
  }

  /**
   * Called once a start's record is durable. Returns true when the start command is to be sent. Otherwise ends the run as not sent,
   * unless it has ended already, and returns false.
   */
  handleStartRecorded(effect: StartEffect, now: number): boolean {
    return this.runCommands.handleStartRecorded(effect, now);
  }

  /** Ends the run of a recorded start that was not sent, so that its capacity is free and its task waits again. */
  handleStartUnsent(effect: StartEffect, now: number): void {
    this.runCommands.handleStartUnsent(effect, now);
  }

  /**
   * Runs the periodic work and makes a round due: ends runs whose lease has expired, sends due stops, removes expired reservations,
   * updates metrics and learned speeds, moves runs, logs long waits, stops broken gangs and removes ended jobs.
   */
  handleTick(now: number): void {
    this.isRoundDue = true;
    this.isEarlyAdviceDue = true;
    for (const endpoint of [...this.endpoints.values()]) {
      endpoint.updateDrainStart(now);
      this.endpointLossHandler.handleLeaseExpiry(endpoint, now);
      this.runTracker.sendDueStops(endpoint, now);
    }
    this.reservations.removeExpiredReservations(now);
    this.adviceMetrics.handleTick(now);
    this.logSlotShortage(now);
    this.runLearner.handleTick(now);
    this.runMover.handleTick(now);
    this.longWaitLogger.logLongWaits(now);
    this.gangMonitor.checkAllGangs();
    this.removeEndedJobs();
  }

  /** Returns the log fields of each step that waits for a start. */
  listOpenWaits(now: number): ReturnType<LongWaitLogger['listOpenWaits']> {
    return this.longWaitLogger.listOpenWaits(now);
  }

  /** Returns false when `placeWaiting` and `requestAdviceAhead` would do nothing, since nothing has happened that may allow a start. */
  hasDueRound(): boolean {
    return this.isRoundDue || this.hasOnlyRequestedAdvice;
  }

  /**
   * Runs a scheduling round, unless nothing has happened since the last one that may allow a start: places waiting tasks in
   * placement order and requests missing advice, with the given free slots: first that of overdue steps, then in placement order. Sends
   * early advice requests at most once a tick.
   */
  placeWaiting(now: number, wallMs: number, slots = UNLIMITED_ADVICE_SLOTS): void {
    if (!this.hasDueRound()) {
      return;
    }
    this.hasOnlyRequestedAdvice = false;
    const waiting = this.startRound(now, wallMs, slots);
    this.stepPlacer.requestOverdueAdvice(waiting, now);
    for (const step of waiting) {
      if (this.stepPlacer.placeStep(step, now)) {
        this.changedJobs.add(step.job.definition.id);
      }
    }
    if (this.isEarlyAdviceDue) {
      this.isEarlyAdviceDue = false;
      this.sendEarlyAdviceRequests(now, wallMs);
    }
  }

  /**
   * Runs instead of `placeWaiting` while the log is unavailable and no start can be recorded: requests, in placement order and with
   * the given free slots, the tickets that waiting steps will need, and places nothing. Does nothing if no round is due.
   */
  requestAdviceAhead(now: number, wallMs: number, slots = UNLIMITED_ADVICE_SLOTS): void {
    if (!this.isRoundDue) {
      return;
    }
    this.hasOnlyRequestedAdvice = true;
    for (const step of this.startRound(now, wallMs, slots)) {
      this.stepPlacer.requestAdviceAhead(step, now);
    }
    this.stepPlacer.releaseTentativePlacements();
  }

  /** Ends the runs whose start records are not durable yet as not sent, so that their tasks wait again. */
  cancelUnrecordedStarts(now: number): void {
    this.runCommands.cancelUnrecordedStarts(now);
  }

  /**
   * Fails jobs over the crash limit, clears what was cached for the last round, sets the time and the free slots of this one, and
   * returns the waiting steps of all jobs in placement order.
   */
  private startRound(now: number, wallMs: number, slots: AdviceSlots): readonly WaitingStep[] {
    this.crashTracker.applyCrashLimits(now, wallMs);
    this.isRoundDue = false;
    this.capacityView.clearCache();
    this.runBudget.startRound();
    this.preemptor.startRound(now, wallMs);
    this.endpointQuarantine.clearCache();
    this.endpointPreference.setRoundWallTime(wallMs);
    this.adviceRequester.startRound(slots, now);
    const waiting: WaitingStep[] = [];
    for (const job of this.jobs.values()) {
      if (!job.progress.isEnded()) {
        waiting.push(...job.getWaitingSteps(wallMs));
      }
    }
    return this.placementOrder.sortSteps(waiting, {
      wallMs,
      usage: this.customerUsage,
      getTotalCapacity: () => this.computeCapacity(),
    });
  }

  /** Logs which queues use the advice slots and which wait, when a step has waited long for one. */
  private logSlotShortage(now: number): void {
    const fields = this.adviceRequester.createShortageFields(now);
    if (fields !== undefined) {
      this.runTracker.sendLogLine('Advice slots are short.', fields);
    }
  }

  /** Requests advice for later steps of all jobs that are about to become ready. */
  private sendEarlyAdviceRequests(now: number, wallMs: number): void {
    for (const job of this.jobs.values()) {
      this.adviceRequester.sendEarlyRequests(job, now, wallMs);
    }
  }

  /**
   * Logs and stops a run that is moved, and records a failure of the run's step on the endpoint, so that the task's next run prefers
   * others.
   */
  private handleRunMove({ endpoint, run, reason, gainMs }: MoveCandidate): void {
    const { incarnation } = endpoint.getProfile();
    this.jobs.get(run.job)?.recordStepFailureOn(run.address.repetition, run.address.step, incarnation);
    this.runTracker.sendLogLine('Run moved.', {
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

  /** Logs a preemption, and stops the preempted run. */
  private handlePreempted(
    endpoint: EndpointState,
    run: PlacedRun,
    step: WaitingStep,
    estimate: PreemptionEstimate,
  ): void {
    this.runTracker.sendLogLine('Run preempted.', {
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

  private createEndpointState(profile: EndpointProfile): EndpointState {
    const { earlierLeasesEndAt, customerUsage, extendedLeases, runCounts } = this;
    return new EndpointState(profile, earlierLeasesEndAt, customerUsage, extendedLeases, runCounts);
  }

  /** Removes ended jobs whose last change has been taken to be recorded. */
  private removeEndedJobs(): void {
    for (const [id, job] of this.jobs) {
      if (job.progress.isEnded() && !this.changedJobs.has(id)) {
        this.jobs.delete(id);
      }
    }
  }
}
