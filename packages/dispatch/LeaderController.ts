import type { CustomerName } from '../customers/CustomerName';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import { waitForDelay } from '../common/waitForDelay';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import type { ServiceName } from '../jobs/ServiceName';
import type { Result } from '../common/Result';
import type { JobReplica } from '../jobs/JobReplica';
import { leaderTimings } from '../leadership/leaderTimings';
import { LoadPublisher } from '../load/LoadPublisher';
import { appendRules } from '../store/appendRules';
import type { LogClient } from '../store/LogClient';
import { adviceBalancers } from './advice/adviceBalancers';
import type { AdviceBalancer } from './advice/AdviceBalancer';
import type { AdviceBalancerOptions } from './advice/AdviceBalancerOptions';
import type { DispatchCounterName } from './DispatchCounterName';
import type { DispatchEffect } from './DispatchEffect';
import { Dispatcher } from './Dispatcher';
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
  readonly client: LogClient;
  /** Topic of the states of jobs and of the leader's record, which every box follows. */
  readonly statesTopic: string;
  /** Topic of the progress of jobs, which only a new leader reads. */
  readonly progressTopic: string;
  readonly endpointsTopic: string;
  readonly maxAppendBytes: number;
  readonly replica: JobReplica;
  /** Reads the jobs' topic; resolves to true once the replica has all records written before the call, and to false on failure. */
  readonly updateReplica: () => Promise<boolean>;
  readonly clock: MachineClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly policies: DispatchPolicies;
  /** Called with each published load digest; without it no load is published. */
  readonly handleLoadDigest?: (digest: string) => void;
  /** Returns a customer's limit in the current configuration. */
  readonly getCustomerLimit: (customer: CustomerName) => TaskDemand | undefined;
  /** Parses an endpoint's record; fails with what is wrong with it. */
  readonly parseEndpoint: (id: string, text: string) => Result<EndpointProfile, string>;
  /** Creates a client of an endpoint; `getToken` returns the current fencing token. */
  readonly createEndpointClient: (profile: EndpointProfile, getToken: () => number) => EndpointClient;
  /** Returns true for a service that the current configuration uses. */
  readonly isServiceRouted: (service: ServiceName) => boolean;
  /** Longest lease that an endpoint accepts, in milliseconds. */
  readonly longestLeaseMs: number;
  /** Lists the boxes that can send advice requests. */
  readonly listChannels: AdviceBalancerOptions['listChannels'];
  readonly formatLeaderRecord: (isResigned: boolean) => string;
  /** Called when a newer leader is seen; this one has stopped. */
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
      | DispatchCounterName,
    amount?: number,
  ) => void;
  readonly recordTime: (name: LeaderDurationName, valueMs: number) => void;
}

const TICK_INTERVAL_MS = 100;
/** Age, since it was sent, of the newest acknowledged write above which the log may be unavailable. */
const MAX_ACK_AGE_MS = leaderTimings.heartbeatMs + TICK_INTERVAL_MS + appendRules.initialTimeoutMs;
/** Duration of a log outage after which starts are held. Longer than an append with one retry, so that a slow log does not cause it. */
const MAX_LOG_OUTAGE_MS = 1000;

/** Runs everything that the leader does: connects the dispatcher with the log, the endpoints and the advice service. */
export class LeaderController {
  private readonly dispatcher: Dispatcher;
  private readonly journal: LeaderJournal;
  private readonly progressRecovery: ProgressRecovery;
  private readonly endpointSessions: EndpointSessions;
  private readonly lineBatcher: LineBatcher;
  private readonly adviceBalancer: AdviceBalancer;
  private readonly loadPublisher: LoadPublisher;
  private readonly commandSender: CommandSender;
  /** Services of all known jobs, whose endpoints are needed even when the configuration no longer names them. */
  private readonly jobServices = new Set<ServiceName>();
  private hasReadJobs = false;
  private hasTakenOver = false;
  private isHoldingStarts = false;
  private isStopped = false;
  private readonly roundThrottle: RoundThrottle;
  private readonly slowRoundLogger: SlowRoundLogger;
  private tickTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaderControllerOptions) {
    const { clock, client, epoch, replica } = options;
    this.lineBatcher = new LineBatcher(options.logger);
    this.loadPublisher = new LoadPublisher(epoch, clock.getNow());
    this.dispatcher = new Dispatcher({
      ...options.policies,
      earlierLeasesEndAt: options.earlierLeasesEndAt,
      longestLeaseMs: options.longestLeaseMs,
      getDefinition: (id) => replica.getDefinition(id),
      getCustomerLimit: options.getCustomerLimit,
    });
    this.roundThrottle = new RoundThrottle({ clock, runRound: () => this.runRound() });
    this.slowRoundLogger = new SlowRoundLogger({
      logger: options.logger,
      countJobs: () => this.dispatcher.countJobs(),
      recordTime: options.recordTime,
    });
    this.journal = new LeaderJournal({
      ...options,
      handleFenced: (detail) => this.handleLeadershipLost(`the log rejected a write: ${detail}`),
    });
    this.progressRecovery = new ProgressRecovery({
      client,
      progressTopic: options.progressTopic,
      epoch,
      handleUnreadableProgress: (job) => options.logger.error('Progress of a job cannot be read.', { job }),
      handleFenced: (detail) => this.handleLeadershipLost(`the log rejected a write: ${detail}`),
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
      createEndpointClient: options.createEndpointClient,
      isServiceUsed: (service) => options.isServiceRouted(service) || this.jobServices.has(service),
      isRenewing: () => this.canGrantLeases(),
      handleStatusApplied: (newEndCount) => this.handleStatusApplied(newEndCount),
      waitForFlush: () => this.journal.waitForProgressFlush(),
      recordCount: (name) => options.recordCount(name),
      handleChanged: () => {
        this.takeOver();
        this.queueRound();
      },
      handleFenced: (detail) => this.handleLeadershipLost(detail),
      handleLogRecovered: options.handleLogRecovered,
    });
    this.commandSender = new CommandSender({
      ...options,
      dispatcher: this.dispatcher,
      endpoints: this.endpointSessions,
      lines: this.lineBatcher,
      isStopped: () => this.isStopped,
      isRenewing: () => this.canGrantLeases(),
      handleStarted: (job) => this.recordStartForLoad(job),
      handleChanged: () => this.queueRound(),
      handleLeadershipLost: (detail) => this.handleLeadershipLost(detail),
    });
    this.adviceBalancer = adviceBalancers[options.policies.turnChoice]({
      clock,
      listChannels: options.listChannels,
      handleResponse: (request, response, tookMs) => {
        options.logger.info('Advice answered.', {
          step: request.step,
          cause: request.cause,
          asked: request.candidates.length,
          allowed: response?.size ?? 'no answer',
          tookMs,
          expectedMs: Math.round(request.expectedResponseMs),
        });
        this.dispatcher.handleAdviceResponse(request.step, request.candidates, response, clock.getNow());
        this.queueRound();
      },
    });
  }

  /**
   * Starts heartbeats at once, and scheduling once the endpoints' records and all jobs have been read, since the end of a run can be
   * applied and acknowledged only if its job is known.
   */
  start(): void {
    this.endpointSessions.start();
    void this.readJobs();
    this.tickTimer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
  }

  /** Stops at once, without further commands. */
  stop(): void {
    if (!this.isStopped) {
      this.logOpenWaits();
    }
    this.isStopped = true;
    clearInterval(this.tickTimer);
    this.progressRecovery.stop();
    this.journal.stop();
    this.endpointSessions.stop();
    this.adviceBalancer.stop();
  }

  /** Stops commands, flushes the journal, writes that another box may lead, then stops. */
  async stopGracefully(): Promise<void> {
    this.hasTakenOver = false;
    clearInterval(this.tickTimer);
    this.endpointSessions.stop();
    this.adviceBalancer.stop();
    // While the log is unavailable, the next leader is notified directly or notices that this process has ended.
    if (this.getLogOutageMs() === 0) {
      await this.journal.writeResignation();
    }
    this.stop();
  }

  /** Adds a job that any box has accepted. */
  handleJob(definition: JobDefinition): void {
    if (this.hasTakenOver) {
      const { id, queue, steps } = definition;
      this.options.logger.info('Job taken in.', { job: id, queue: queue.name, steps: steps.length });
      this.addJob(definition);
      this.queueRound();
    }
  }

  handleCancel(id: JobId): void {
    this.dispatcher.handleCancel(id, this.options.clock.getWallTime());
    this.queueRound();
  }

  /** Returns how long this leader's writes to the log have failed, in milliseconds; 0 while they succeed. */
  getLogOutageMs(): number {
    return this.journal.getLogOutageMs();
  }

  /** Returns true while the log acknowledges heartbeats in time. */
  isHeartbeatFresh(): boolean {
    return !this.isStopped && this.getLogOutageMs() === 0 && this.journal.hasAckedWriteWithin(MAX_ACK_AGE_MS);
  }

  /** Retries calls to the log that are pending since its outage. `sentAt` is when the call that it has answered was sent. */
  retryPendingLogCalls(sentAt: number): void {
    this.journal.retryPendingAppends();
    this.endpointSessions.retryPending(sentAt);
  }

  getDispatcher(): Dispatcher {
    return this.dispatcher;
  }

  /** Returns true once the jobs and endpoints of earlier leaders have been taken over. */
  isActive(): boolean {
    return this.hasTakenOver && !this.isStopped;
  }

  /** Logs the open waits, which the next leader does not know. */
  private logOpenWaits(): void {
    const now = this.options.clock.getNow();
    for (const fields of this.dispatcher.listOpenWaits(now)) {
      this.lineBatcher.recordLine('Step waits.', fields, now);
    }
    this.lineBatcher.stop();
  }

  private async readJobs(): Promise<void> {
    // Jobs are read after earlier leaders were fenced, so that they include every job that one of those has started.
    await this.progressRecovery.run();
    while (!this.isStopped && !this.hasReadJobs) {
      this.hasReadJobs = await this.options.updateReplica();
      if (!this.hasReadJobs) {
        await waitForDelay(TICK_INTERVAL_MS);
      }
    }
    this.takeOver();
  }

  /** Takes over the jobs of earlier leaders, then starts to poll the endpoints, once all records have been read. */
  private takeOver(): void {
    if (this.hasTakenOver || this.isStopped || !this.endpointSessions.hasReadRecords() || !this.hasReadJobs) {
      return;
    }
    const { replica, clock, logger, epoch } = this.options;
    this.hasTakenOver = true;
    for (const definition of replica.listDefinitionsInOrder()) {
      this.addJob(definition);
      if (replica.isCancelled(definition.id)) {
        this.dispatcher.handleCancel(definition.id, clock.getWallTime());
      }
    }
    this.endpointSessions.startSessions();
    logger.info('Leading.', {
      epoch,
      jobs: this.dispatcher.countJobs(),
      endpoints: this.endpointSessions.countEndpoints(),
    });
  }

  /** Adds a job with the progress that earlier leaders have written, and writes its state if it differs from the written one. */
  private addJob(definition: JobDefinition): void {
    const progress = this.progressRecovery.takeProgress(definition);
    this.jobServices.add(definition.queue.service);
    this.dispatcher.handleJob(definition, progress, this.options.clock.getNow());
    if (progress.getState() !== 'queued') {
      this.journal.queueJobState(definition.id, progress.getState());
    }
  }

  /** Queues the records that follow from a poll. */
  private handleStatusApplied(newEndCount: number): void {
    this.options.recordCount('ends', newEndCount);
    this.sendEffects();
    this.queueRound();
  }

  private handleLeadershipLost(detail: string): void {
    if (!this.isStopped) {
      this.stop();
      this.options.handleLeadershipLost(detail);
    }
  }

  private handleTick(): void {
    const now = this.options.clock.getNow();
    this.journal.handleTick(now);
    this.lineBatcher.handleTick(now);
    if (this.hasTakenOver) {
      this.endpointSessions.startPendingSessions();
      this.dispatcher.handleTick(now);
      this.queueLoadDigest(now);
      this.queueRound();
    }
  }

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

  /** Returns true while this leader may grant leases; the next leader waits until the last of them has expired. */
  private canGrantLeases(): boolean {
    return this.journal.hasAckedWriteWithin(leaderTimings.unconfirmedGraceMs);
  }

  private queueRound(): void {
    if (!this.isStopped) {
      this.roundThrottle.queueRound();
    }
  }

  private runRound(): void {
    if (!this.isActive()) {
      return;
    }
    const { clock } = this.options;
    const now = clock.getNow();
    this.updateStartHold(now);
    const slots = this.adviceBalancer.getFreeSlots();
    if (this.isHoldingStarts) {
      this.dispatcher.requestAdviceAhead(now, clock.getWallTime(), slots);
    } else {
      this.dispatcher.placeWaiting(now, clock.getWallTime(), slots);
    }
    this.sendEffects();
    this.slowRoundLogger.recordRound(clock.getNow() - now, now);
  }

  /** Holds starts while they cannot be recorded, since they would take capacity and be sent with expired tickets. */
  private updateStartHold(now: number): void {
    const outageMs = this.journal.getProgressOutageMs();
    const isHolding = outageMs > MAX_LOG_OUTAGE_MS;
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

  /** Carries out the dispatcher's pending effects. */
  private sendEffects(): void {
    for (const effect of this.dispatcher.takeEffects()) {
      this.sendEffect(effect);
    }
  }

  private sendEffect(effect: DispatchEffect): void {
    switch (effect.kind) {
      case 'record':
        this.queueProgressRecord(effect.job);
        return;
      case 'start':
        this.queueProgressRecord(effect.job, () => void this.commandSender.sendStart(effect));
        return;
      case 'stop':
        void this.commandSender.sendStop(effect);
        return;
      case 'look':
        void this.endpointSessions.getSession(effect.endpoint)?.sendExtraPoll();
        return;
      case 'advise':
        this.options.recordCount('questions');
        void this.adviceBalancer.sendRequest(effect);
        return;
      case 'count':
        this.options.recordCount(effect.name, effect.amount);
        return;
      case 'tell':
        this.lineBatcher.recordLine(effect.message, effect.fields, this.options.clock.getNow());
        return;
    }
  }

  private queueProgressRecord(id: JobId, handleWritten?: () => void): void {
    const job = this.dispatcher.getJob(id);
    if (job !== undefined) {
      this.journal.queueJobProgress(job.definition, job.progress, handleWritten);
    }
  }

  private recordStartForLoad(job: JobId): void {
    const queue = this.dispatcher.getJob(job)?.definition.queue.name;
    if (queue !== undefined && this.options.handleLoadDigest !== undefined) {
      this.loadPublisher.recordStart(queue, this.options.clock.getNow());
    }
  }
}
