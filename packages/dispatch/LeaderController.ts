import type { CustomerName } from '../customers/CustomerName';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { BoxResources } from '../boxes/BoxResources';
import type { JsonClient } from '../common/JsonClient';
import type { JsonClientOptions } from '../common/JsonClientOptions';
import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import { TimeSlices } from '../common/TimeSlices';
import { waitForDelay } from '../common/waitForDelay';
import type { QueueConfiguration } from '../gateway/QueueConfiguration';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import type { ServiceName } from '../jobs/ServiceName';
import type { Result } from '../common/Result';
import type { JobReplica } from '../jobs/JobReplica';
import type { ExtendedLease } from '../leadership/ExtendedLease';
import type { ExtendedLeases } from '../leadership/ExtendedLeases';
import { leaderTimings } from '../leadership/leaderTimings';
import type { LeaseWitness } from '../leadership/LeaseWitness';
import { LeaseWitnesses } from '../leadership/LeaseWitnesses';
import { LoadPublisher } from '../load/LoadPublisher';
import { CallRelays } from '../relay/CallRelays';
import type { RelayBox } from '../relay/RelayBox';
import { appendRules } from '../store/appendRules';
import type { LogClient } from '../store/LogClient';
import { adviceBalancers } from './advice/adviceBalancers';
import type { AdviceBalancer } from './advice/AdviceBalancer';
import type { AdviceBalancerOptions } from './advice/AdviceBalancerOptions';
import type { DispatchCounterName } from './DispatchCounterName';
import { Dispatcher } from './Dispatcher';
import { EffectSender } from './EffectSender';
import type { DispatchPolicies } from './DispatchPolicies';
import type { EndpointClient } from './endpoints/EndpointClient';
import type { EndpointProfile } from './endpoints/EndpointProfile';
import { EndpointSessions } from './endpoints/EndpointSessions';
import { CommandSender } from './endpoints/CommandSender';
import { LeaderJournal } from './LeaderJournal';
import type { LeaderDurationName } from './LeaderDurationName';
import { LineBatcher } from '../logging/LineBatcher';
import { ProgressRecovery } from './ProgressRecovery';
import { RoundThrottle } from './placing/RoundThrottle';
import { SlowRoundLogger } from './placing/SlowRoundLogger';

interface LeaderControllerOptions {
  readonly epoch: number;
  /** Monotonic time at which the claim was sent that made this process lead. */
  readonly claimedAt: number;
  /** Monotonic time at which leases granted by earlier leaders have expired on endpoints that are not yet synced. */
  readonly earlierLeasesEndAt: number;
  /** Extended leases that earlier leaders have named. This leader adds those that it finds. */
  readonly extendedLeases: ExtendedLeases;
  readonly client: LogClient;
  /** Topic of the states of jobs and of the leader's record, which every box follows. */
  readonly statesTopic: string;
  /** Topic of the progress of jobs, which only a new leader reads. */
  readonly progressTopic: string;
  /** Topic of the records of endpoints. */
  readonly endpointsTopic: string;
  readonly maxAppendBytes: number;
  readonly replica: JobReplica;
  /** Reads the jobs' topic; resolves to true once the replica has all records written before the call, and to false on failure. */
  readonly updateReplica: () => Promise<boolean>;
  readonly clock: MachineClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly policies: DispatchPolicies;
  /** Called with each load digest that is written to the log; if not given, no load is published. */
  readonly handleLoadDigest?: (digest: string) => void;
  /** Configuration that this process has applied; undefined before the first. Later versions come by `handleConfiguration`. */
  readonly configuration: QueueConfiguration | undefined;
  /** Returns a customer's limit in the current configuration; if undefined, the limit stored with the job applies. */
  readonly getCustomerLimit: (customer: CustomerName) => TaskDemand | undefined;
  /** Parses the record of an endpoint; the error of the result says why the record is invalid. */
  readonly parseEndpoint: (id: string, text: string) => Result<EndpointProfile, string>;
  /**
   * Creates a client that sends polls and commands to an endpoint; `getToken` returns the current fencing token, and `createJsonClient` creates the
   * clients that send them.
   */
  readonly createEndpointClient: (
    profile: EndpointProfile,
    getToken: () => number,
    createJsonClient: (options: JsonClientOptions) => JsonClient,
  ) => EndpointClient;
  /** Resources of this box. */
  readonly ownBox: BoxResources;
  /** Lists the other boxes, which may send calls to endpoints for this leader. */
  readonly listRelayBoxes: () => readonly RelayBox[];
  /** Returns true if a queue of the current configuration uses the service. */
  readonly isServiceRouted: (service: ServiceName) => boolean;
  /** Longest lease that an endpoint accepts, in milliseconds. */
  readonly longestLeaseMs: number;
  /** Lists the boxes that can send advice requests. */
  readonly listChannels: AdviceBalancerOptions['listChannels'];
  /** Lists the other boxes, which may be witnesses of this leader. */
  readonly listOtherBoxes: ConstructorParameters<typeof LeaseWitnesses>[0]['listOthers'];
  /** Returns whether the box has not responded to the newest request. */
  readonly isBoxLost: (box: string) => boolean;
  /**
   * Formats this leader's record in the states topic, with its witnesses, if any, and the extended leases; with `isResigned` it says that another
   * box may lead.
   */
  readonly formatLeaderRecord: (
    isResigned: boolean,
    witnesses: readonly LeaseWitness[] | undefined,
    extendedLeases: readonly ExtendedLease[],
  ) => string;
  /** Called once, after this leader has stopped since a newer one was seen. */
  readonly handleLeadershipLost: (detail: string) => void;
  /** Called when the log has recovered from an outage, with the monotonic time at which the first successful call was sent. */
  readonly handleLogRecovered: (sentAt: number) => void;
  readonly recordCount: (
    name:
      | 'starts'
      | 'ends'
      | 'stops'
      | 'questions'
      | 'digests'
      | 'unanswered'
      | 'livesBegun'
      | 'recordsRefused'
      | 'relaysLost'
      | DispatchCounterName,
    amount?: number,
  ) => void;
  readonly recordTime: (name: LeaderDurationName, valueMs: number) => void;
}

const TICK_INTERVAL_MS = 100;
/** Longest time for which the takeover waits for connections to call relays. */
const RELAY_WAIT_MS = 200;
/** Interval of writes of the leader's record while leases of earlier leaders may run. Heartbeats also write it, but not beside other writes. */
const LEASES_RECORD_INTERVAL_MS = 1000;
/** Time since the newest acknowledged write was sent, above which heartbeats count as late. */
const MAX_ACK_AGE_MS = leaderTimings.heartbeatMs + TICK_INTERVAL_MS + appendRules.initialTimeoutMs;
/** Outage of writes to the progress topic above which starts are held; longer than an append with one retry. */
const START_HOLD_OUTAGE_MS = 1000;

/**
 * Runs a leader: recovers the state of earlier leaders, passes events of the log, the endpoints and the advice service to the
 * dispatcher, queues scheduling rounds and carries out the dispatcher's effects.
 */
export class LeaderController {
  private readonly dispatcher: Dispatcher;
  private readonly journal: LeaderJournal;
  private readonly witnesses: LeaseWitnesses;
  private readonly progressRecovery: ProgressRecovery;
  private readonly endpointSessions: EndpointSessions;
  private readonly callRelays: CallRelays;
  private readonly lineBatcher: LineBatcher;
  private readonly adviceBalancer: AdviceBalancer;
  private readonly loadPublisher: LoadPublisher;
  private readonly commandSender: CommandSender;
  private readonly effectSender: EffectSender;
  /** Services of all known jobs, whose endpoints are needed even when the configuration no longer names them. */
  private readonly jobServices = new Set<ServiceName>();
  private hasReadJobs = false;
  /** Monotonic time at which `start` was called. */
  private startedAt = 0;
  /** Time that reading the progress and the jobs took, in milliseconds. */
  private readJobsMs = 0;
  /** True from the begin of the takeover on, which happens once: the progress of the jobs is not kept for another time. */
  private hasBegunTakeover = false;
  /** True once the jobs of earlier leaders were added to the dispatcher. */
  private hasTakenOver = false;
  /** True from the begin of a graceful stop on. */
  private isResigning = false;
  /** True while rounds only request advice, since starts cannot be recorded. */
  private isHoldingStarts = false;
  private isStopped = false;
  /** Monotonic time at which leases of earlier leaders have expired. */
  private earlierLeasesEndAt: number;
  /** Monotonic time at which the leader's record is written again for the leases of earlier leaders; Infinity once it says that they have expired. */
  private leasesRecordDueAt = -Infinity;
  private readonly roundThrottle: RoundThrottle;
  private readonly slowRoundLogger: SlowRoundLogger;
  private tickTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaderControllerOptions) {
    const { clock, client, epoch, replica } = options;
    this.earlierLeasesEndAt = options.earlierLeasesEndAt;
    this.lineBatcher = new LineBatcher(options.logger);
    this.loadPublisher = new LoadPublisher(epoch, clock.getNow());
    this.dispatcher = new Dispatcher({
      ...options.policies,
      earlierLeasesEndAt: options.earlierLeasesEndAt,
      longestLeaseMs: options.longestLeaseMs,
      extendedLeases: options.extendedLeases,
      getDefinition: (id) => replica.getDefinition(id),
      getCustomerLimit: options.getCustomerLimit,
    });
    this.roundThrottle = new RoundThrottle({ clock, runSchedulingRound: () => this.runSchedulingRound() });
    this.slowRoundLogger = new SlowRoundLogger({
      logger: options.logger,
      countJobs: () => this.dispatcher.countJobs(),
      recordTime: options.recordTime,
    });
    this.journal = new LeaderJournal({
      ...options,
      formatLeaderRecord: (isResigned) => this.formatLeaderRecord(isResigned),
      handleLeaderRecordWritten: () => this.handleLeaderRecordWritten(),
      handleUnwritableProgress: (job) => this.handleUnwritableProgress(job),
      handleFenced: (detail) => this.handleLeadershipLost(`the log rejected a write: ${detail}`),
    });
    this.witnesses = new LeaseWitnesses({
      epoch,
      clock,
      logger: options.logger,
      listOthers: options.listOtherBoxes,
      isLost: options.isBoxLost,
      hasAckedWriteWithin: (limitMs) => this.journal.hasAckedWriteWithin(limitMs),
      handleChange: () => this.journal.queueLeaderRecord(),
    });
    this.progressRecovery = new ProgressRecovery({
      client,
      progressTopic: options.progressTopic,
      epoch,
      handleUnreadableProgress: (job, part) =>
        options.logger.error('Progress of a job cannot be read.', { job, part }),
      handleFenced: (detail) => this.handleLeadershipLost(`the log rejected a write: ${detail}`),
    });
    this.callRelays = new CallRelays({
      clock,
      logger: options.logger,
      ownBox: options.ownBox,
      listBoxes: options.listRelayBoxes,
      recordCount: (name) => options.recordCount(name),
    });
    this.endpointSessions = new EndpointSessions({
      epoch,
      client,
      topic: options.endpointsTopic,
      clock,
      random: options.random,
      logger: options.logger,
      dispatcher: this.dispatcher,
      parseEndpoint: options.parseEndpoint,
      createEndpointClient: (profile, getToken) =>
        options.createEndpointClient(profile, getToken, (client) => this.callRelays.createClient(client)),
      isServiceUsed: (service) => options.isServiceRouted(service) || this.jobServices.has(service),
      canGrantLeases: () => this.witnesses.canRenew(),
      handleStatusApplied: (newEndCount) => this.handleStatusApplied(newEndCount),
      waitForFlush: () => this.journal.waitForProgressFlush(),
      recordCount: (name) => options.recordCount(name),
      handleSchedulingChange: () => {
        void this.takeOver();
        this.queueSchedulingRound();
      },
      handleNewerLeader: (detail) => this.handleLeadershipLost(detail),
      handleLogRecovered: options.handleLogRecovered,
    });
    this.commandSender = new CommandSender({
      ...options,
      dispatcher: this.dispatcher,
      endpoints: this.endpointSessions,
      lineBatcher: this.lineBatcher,
      isStopped: () => this.isStopped,
      canGrantLeases: () => this.witnesses.canRenew(),
      handleJobStart: (job) => this.recordStartForLoad(job),
      handleSchedulingChange: () => this.queueSchedulingRound(),
      handleLeadershipLost: (detail) => this.handleLeadershipLost(detail),
    });
    this.adviceBalancer = adviceBalancers[options.policies.turnChoice]({
      clock,
      listChannels: options.listChannels,
      handleResponse: (request, response, tookMs) => {
        options.logger.info('Advice received.', {
          step: request.step,
          cause: request.adviceReason,
          asked: request.candidates.length,
          allowed: response?.size ?? 'no answer',
          tookMs,
          expectedMs: Math.round(request.expectedResponseMs),
        });
        this.dispatcher.handleAdviceResponse(request.step, request.candidates, response, clock.getNow());
        this.queueSchedulingRound();
      },
    });
    this.effectSender = new EffectSender({
      dispatcher: this.dispatcher,
      journal: this.journal,
      commandSender: this.commandSender,
      endpointSessions: this.endpointSessions,
      adviceBalancer: this.adviceBalancer,
      lineBatcher: this.lineBatcher,
      clock,
      recordCount: options.recordCount,
    });
    if (options.configuration !== undefined) {
      this.applyQueuePolicies(options.configuration);
    }
  }

  /**
   * Starts to write heartbeats, to fence earlier leaders, and to read the jobs and the endpoints' records. Polls and scheduling
   * begin once all jobs and records have been read, since the end of a run can be applied only if its job is known.
   */
  start(): void {
    this.startedAt = this.options.clock.getNow();
    // After a slow claim the first heartbeat is due already, and the responses to the reads may delay the tick.
    this.journal.handleTick(this.options.clock.getNow());
    this.endpointSessions.start();
    void this.readJobs();
    this.tickTimer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
  }

  /** Logs the open waits and stops at once: sends no more commands, and drops queued writes. May be called more than once. */
  stop(): void {
    if (!this.isStopped) {
      this.logOpenWaits();
    }
    this.isStopped = true;
    clearInterval(this.tickTimer);
    this.progressRecovery.stop();
    this.journal.stop();
    this.endpointSessions.stop();
    this.callRelays.stop();
    this.adviceBalancer.stop();
  }

  /**
   * Stops scheduling, polls and advice requests, writes queued progress and a record that another box may lead, unless writes to the
   * log fail, then stops.
   */
  async stopGracefully(): Promise<void> {
    this.isResigning = true;
    clearInterval(this.tickTimer);
    this.endpointSessions.stop();
    this.adviceBalancer.stop();
    // While the log is unavailable, the other boxes are notified directly, or notice that this process has ended.
    if (this.getLogOutageMs() === 0) {
      await this.journal.writeResignation();
    }
    this.stop();
  }

  /** Adds a newly accepted job and queues a round. Does nothing before the takeover, which adds all known jobs, and once this leader resigns. */
  handleJob(definition: JobDefinition): void {
    if (this.isActive()) {
      const { id, queue, steps } = definition;
      const isCancelled = this.options.replica.isCancelled(id);
      this.options.logger.info('Job taken in.', {
        job: id,
        queue: queue.name,
        steps: steps.length,
        isCancelled,
      });
      this.addJob(definition);
      this.queueSchedulingRound();
    }
  }

  /** Applies a new version of the configuration to the jobs, and queues a round. */
  handleConfiguration(configuration: QueueConfiguration): void {
    this.applyQueuePolicies(configuration);
    this.queueSchedulingRound();
  }

  private applyQueuePolicies({ version, routes }: QueueConfiguration): void {
    const queues = routes.map(({ queue }) => queue);
    this.dispatcher.handleQueuePolicies(version, queues, this.options.clock.getWallTime());
  }

  /** Cancels a job and queues a round. A job whose record comes later is cancelled when it is added. */
  handleCancel(id: JobId): void {
    if (this.options.replica.getDefinition(id) === undefined) {
      this.options.logger.info('Cancellation read before its job.', { job: id });
    }
    this.dispatcher.handleCancel(id, this.options.clock.getWallTime());
    this.queueSchedulingRound();
  }

  /** Returns how long writes to the progress or the states topic have failed, in milliseconds; 0 while both succeed. */
  getLogOutageMs(): number {
    return this.journal.getLogOutageMs();
  }

  /** Returns true while this leader runs, its writes succeed, and the newest acknowledged one was sent within `MAX_ACK_AGE_MS`. */
  isHeartbeatFresh(): boolean {
    return !this.isStopped && this.getLogOutageMs() === 0 && this.journal.hasAckedWriteWithin(MAX_ACK_AGE_MS);
  }

  /**
   * Retries failed appends, and the pending read of the endpoints' topic if it failed or was sent before `sentAt`, as the log has responded to
   * a call sent then.
   */
  retryPendingLogCalls(sentAt: number): void {
    this.journal.retryPendingAppends();
    this.endpointSessions.retryPendingRead(sentAt);
  }

  /** Sets an earlier monotonic time at which leases of earlier leaders have expired. */
  setEarlierLeasesEnd(endAt: number): void {
    this.earlierLeasesEndAt = endAt;
    this.leasesRecordDueAt = -Infinity;
    this.dispatcher.setEarlierLeasesEnd(endAt);
  }

  getDispatcher(): Dispatcher {
    return this.dispatcher;
  }

  /** Returns true from the takeover of earlier leaders' jobs and endpoints until this leader stops or resigns. */
  isActive(): boolean {
    return this.hasTakenOver && !this.isResigning && !this.isStopped;
  }

  /** Logs the open waits, which the next leader does not know, and stops the line batcher. */
  private logOpenWaits(): void {
    const now = this.options.clock.getNow();
    for (const fields of this.dispatcher.listOpenWaits(now)) {
      this.lineBatcher.recordLine('Step waits.', fields, now);
    }
    this.lineBatcher.stop();
  }

  /**
   * Recovers progress, reads all jobs, retrying until stopped, then takes over if the endpoints' records have been read as well.
   */
  private async readJobs(): Promise<void> {
    // Jobs are read after earlier leaders were fenced, so that they include every job that one of those has started.
    await this.progressRecovery.run();
    while (!this.isStopped && !this.hasReadJobs) {
      this.hasReadJobs = await this.options.updateReplica();
      if (!this.hasReadJobs) {
        await waitForDelay(TICK_INTERVAL_MS);
      }
    }
    this.readJobsMs = this.options.clock.getNow() - this.startedAt;
    await this.takeOver();
  }

  /**
   * Adds the jobs of earlier leaders, with their cancellations, and starts to poll the endpoints. Does nothing before all jobs and
   * endpoints' records have been read, after the takeover, or once this leader has stopped or resigns.
   */
  private async takeOver(): Promise<void> {
    const canTakeOver = !this.hasBegunTakeover && !this.isResigning && !this.isStopped;
    if (!canTakeOver || !this.endpointSessions.hasReadRecords() || !this.hasReadJobs) {
      return;
    }
    const { clock, logger, epoch } = this.options;
    this.hasBegunTakeover = true;
    const takenOverAt = clock.getNow();
    this.callRelays.updateRelays(this.endpointSessions.countEndpoints());
    await this.addKnownJobs();
    await this.callRelays.waitForConnections(RELAY_WAIT_MS);
    if (!this.isActive()) {
      return;
    }
    void this.endpointSessions.startSessions();
    logger.info('Leading.', {
      epoch,
      jobs: this.dispatcher.countJobs(),
      endpoints: this.endpointSessions.countEndpoints(),
      afterMs: Math.round(clock.getNow() - this.startedAt),
      readJobsMs: Math.round(this.readJobsMs),
      applyMs: Math.round(clock.getNow() - takenOverAt),
    });
  }

  /**
   * Adds all jobs that the replica knows, also those that it learns of meanwhile, unless this leader stops or resigns. Leaves the event loop to
   * heartbeats now and then.
   */
  private async addKnownJobs(): Promise<void> {
    const { replica, clock } = this.options;
    const slices = new TimeSlices(clock);
    const added = new Set<JobId>();
    const listNew = (): readonly JobDefinition[] =>
      replica.listDefinitionsInOrder().filter(({ id }) => !added.has(id));
    for (let definitions = listNew(); definitions.length > 0; definitions = listNew()) {
      for (const definition of definitions) {
        added.add(definition.id);
        this.addJob(definition);
        await slices.waitWhenUsedUp();
        if (this.isResigning || this.isStopped) {
          return;
        }
      }
    }
    // Set in the turn of the last look, since `handleJob` adds jobs only from now on.
    this.hasTakenOver = true;
  }

  /** Adds a job with its recovered progress to the dispatcher, and queues a write of its state. Cancels it if its cancellation is known already. */
  private addJob(definition: JobDefinition): void {
    const { clock, replica } = this.options;
    const progress = this.progressRecovery.takeProgress(definition);
    this.jobServices.add(definition.queue.service);
    this.dispatcher.handleJob(definition, progress, clock.getNow());
    this.journal.queueJobState(definition.id, progress.getState());
    if (replica.isCancelled(definition.id)) {
      this.dispatcher.handleCancel(definition.id, clock.getWallTime());
    } else {
      this.dispatcher.applyAttemptsLimit(definition.id, clock.getWallTime());
    }
  }

  /** Counts the ends that a poll's status newly reported, carries out the effects of applying the status, and queues a round. */
  private handleStatusApplied(newEndCount: number): void {
    this.options.recordCount('ends', newEndCount);
    this.effectSender.sendEffects();
    this.queueSchedulingRound();
  }

  /** Stops this leader and notifies its owner, unless it has stopped already. */
  private handleLeadershipLost(detail: string): void {
    if (!this.isStopped) {
      this.stop();
      this.options.handleLeadershipLost(detail);
    }
  }

  /**
   * Queues a due heartbeat and writes due log lines; after the takeover also starts pending sessions, runs the dispatcher's tick, and
   * queues a due load digest and a round.
   */
  private handleTick(): void {
    const now = this.options.clock.getNow();
    this.journal.handleTick(now);
    this.recordLeasesEnd(now);
    this.witnesses.handleTick();
    this.lineBatcher.writeDueBatches(now);
    if (this.hasTakenOver) {
      this.endpointSessions.startPendingSessions();
      this.callRelays.handleTick(this.endpointSessions.countEndpoints());
      this.dispatcher.handleTick(now);
      this.queueLoadDigest(now);
      this.queueSchedulingRound();
    }
  }

  private formatLeaderRecord(isResigned: boolean): string {
    const { extendedLeases, clock, formatLeaderRecord } = this.options;
    const leases = extendedLeases.listActiveLeases(clock.getNow());
    extendedLeases.removeExpiredLeases(clock.getNow());
    extendedLeases.recordFormatted();
    return formatLeaderRecord(isResigned, this.witnesses.updateNamedWitnesses(), leases);
  }

  /** Fails a job whose progress the log never takes: without a record, its tasks could not be started again, nor known to be done. */
  private handleUnwritableProgress(job: JobId): void {
    this.dispatcher.handleUnwritableJob(job, this.options.clock.getWallTime());
    this.effectSender.sendEffects();
  }

  private handleLeaderRecordWritten(): void {
    this.witnesses.handleRecordWritten();
    if (this.options.extendedLeases.handleRecordWritten()) {
      this.dispatcher.handleExtendedLeasesWritten();
      this.queueSchedulingRound();
    }
  }

  /**
   * Queues a write of the leader's record, which says how long leases of earlier leaders may run: at the first tick, at intervals until they
   * have expired, and then. A later leader may know none of them, and counts what the record says from when it reads it.
   */
  private recordLeasesEnd(now: number): void {
    if (now >= this.leasesRecordDueAt) {
      const isOver = now >= this.earlierLeasesEndAt;
      this.leasesRecordDueAt = isOver
        ? Infinity
        : Math.min(now + LEASES_RECORD_INTERVAL_MS, this.earlierLeasesEndAt);
      this.journal.queueLeaderRecord();
    }
  }

  /** Writes a load digest to the log and passes it on, if one is due and `handleLoadDigest` is given. */
  private queueLoadDigest(now: number): void {
    const { clock, handleLoadDigest, recordCount } = this.options;
    if (handleLoadDigest === undefined) {
      return;
    }
    const wallMs = clock.getWallTime();
    const digest = this.loadPublisher.createDueDigest({ now, wallMs }, () =>
      this.dispatcher.computeLoad(wallMs),
    );
    if (digest !== undefined) {
      recordCount('digests');
      this.journal.queueLoadDigest(digest);
      handleLoadDigest(digest);
    }
  }

  private queueSchedulingRound(): void {
    if (!this.isStopped) {
      this.roundThrottle.queueRound();
    }
  }

  /**
   * Runs a scheduling round if one is due, or only requests advice while starts are held, and carries out the effects. Does nothing
   * while this leader is inactive. Returns whether a round was due.
   */
  private runSchedulingRound(): boolean {
    if (!this.isActive()) {
      return false;
    }
    const { clock } = this.options;
    const now = clock.getNow();
    this.updateStartHold(now);
    const isRoundDue = this.dispatcher.hasDueRound();
    if (isRoundDue) {
      const slots = this.adviceBalancer.getFreeSlots();
      if (this.isHoldingStarts) {
        this.dispatcher.requestAdviceAhead(now, clock.getWallTime(), slots);
      } else {
        this.dispatcher.placeWaiting(now, clock.getWallTime(), slots);
      }
    }
    this.effectSender.sendEffects();
    this.slowRoundLogger.recordRoundDuration(clock.getNow() - now, now);
    return isRoundDue;
  }

  /** Holds starts and cancels unrecorded ones when progress could not be written for `START_HOLD_OUTAGE_MS`, until it can be again. */
  private updateStartHold(now: number): void {
    const outageMs = this.journal.getProgressOutageMs();
    const isHolding = outageMs > START_HOLD_OUTAGE_MS;
    if (isHolding === this.isHoldingStarts) {
      return;
    }
    this.isHoldingStarts = isHolding;
    const message = isHolding ? 'Holding starts: progress cannot be written to the log.' : 'Resuming starts.';
    this.options.logger.info(message, { failingMs: Math.round(outageMs) });
    if (isHolding) {
      this.dispatcher.cancelUnrecordedStarts(now);
    }
  }

  /** Counts a start for the load digest, if load is published. */
  private recordStartForLoad(job: JobId): void {
    const queue = this.dispatcher.getJob(job)?.definition.queue.name;
    if (queue !== undefined && this.options.handleLoadDigest !== undefined) {
      this.loadPublisher.recordStart(queue, this.options.clock.getNow());
    }
  }
}
