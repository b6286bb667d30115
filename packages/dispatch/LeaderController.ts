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
  readonly getLimit: (customer: CustomerName) => TaskDemand | undefined;
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

const TICK_MS = 100;
/** Age, since it was sent, of the newest acknowledged write above which the log may be unavailable. */
const MAX_AGE_MS = leaderTimings.heartbeatMs + TICK_MS + appendRules.initialTimeoutMs;
/** Duration of a log outage after which starts are held. Longer than an append with one retry, so that a slow log does not cause it. */
const HOLD_STARTS_AFTER_MS = 1000;

/** Runs everything that the leader does: connects the dispatcher with the log, the endpoints and the advice service. */
export class LeaderController {
  private readonly dispatcher: Dispatcher;
  private readonly journal: LeaderJournal;
  private readonly recovery: ProgressRecovery;
  private readonly endpoints: EndpointSessions;
  private readonly batcher: LineBatcher;
  private readonly adviceBalancer: AdviceBalancer;
  private readonly loadPublisher: LoadPublisher;
  private readonly commands: CommandSender;
  /** Services of all known jobs, whose endpoints are needed even when the configuration no longer names them. */
  private readonly services = new Set<ServiceName>();
  private hasReadJobs = false;
  private hasTakenOver = false;
  private isHoldingStarts = false;
  private isStopped = false;
  private readonly roundThrottle: RoundThrottle;
  private readonly slowRoundLogger: SlowRoundLogger;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaderControllerOptions) {
    const { clock, client, epoch, replica } = options;
    this.batcher = new LineBatcher(options.logger);
    this.loadPublisher = new LoadPublisher(epoch, clock.getNow());
    this.dispatcher = new Dispatcher({
      ...options.policies,
      earlierLeasesEndAt: options.earlierLeasesEndAt,
      longestLeaseMs: options.longestLeaseMs,
      getDefinition: (id) => replica.getDefinition(id),
      getLimit: options.getLimit,
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
    this.recovery = new ProgressRecovery({
      client,
      topic: options.progressTopic,
      epoch,
      handleUnreadable: (job) => options.logger.error('Progress of a job cannot be read.', { job }),
      handleFenced: (detail) => this.handleLeadershipLost(`the log rejected a write: ${detail}`),
    });
    this.endpoints = new EndpointSessions({
      epoch,
      client,
      topic: options.endpointsTopic,
      clock,
      random: options.random,
      logger: options.logger,
      dispatcher: this.dispatcher,
      parseEndpoint: options.parseEndpoint,
      createEndpointClient: options.createEndpointClient,
      isServiceUsed: (service) => options.isServiceRouted(service) || this.services.has(service),
      canGrantLeases: () => this.canGrantLeases(),
      handleStatusApplied: (newEndCount) => this.handlePolled(newEndCount),
      waitForFlush: () => this.journal.waitForFlush(),
      recordCount: (name) => options.recordCount(name),
      handleSchedulingChange: () => {
        this.takeOver();
        this.queueRound();
      },
      handleNewerLeader: (detail) => this.handleLeadershipLost(detail),
      handleLogRecovered: options.handleLogRecovered,
    });
    this.commands = new CommandSender({
      ...options,
      dispatcher: this.dispatcher,
      endpoints: this.endpoints,
      lineBatcher: this.batcher,
      isStopped: () => this.isStopped,
      canGrantLeases: () => this.canGrantLeases(),
      handleJobStart: (job) => this.recordStart(job),
      handleSchedulingChange: () => this.queueRound(),
      handleLeadershipLost: (detail) => this.handleLeadershipLost(detail),
    });
    this.adviceBalancer = adviceBalancers[options.policies.turnChoice]({
      clock,
      listChannels: options.listChannels,
      handleResponse: (request, response, tookMs) => {
        options.logger.info('Advice answered.', {
          step: request.step,
          cause: request.cause,
          asked: request.endpoints.length,
          allowed: response?.size ?? 'no answer',
          tookMs,
          expectedMs: Math.round(request.expectedMs),
        });
        this.dispatcher.handleAdviceResponse(request.step, request.endpoints, response, clock.getNow());
        this.queueRound();
      },
    });
  }

  /**
   * Starts heartbeats at once, and scheduling once the endpoints' records and all jobs have been read, since the end of a run can be
   * applied and acknowledged only if its job is known.
   */
  start(): void {
    this.endpoints.start();
    void this.readJobs();
    this.timer = setInterval(() => this.handleTick(), TICK_MS);
  }

  /** Stops at once, without further commands. */
  stop(): void {
    if (!this.isStopped) {
      this.logWaits();
    }
    this.isStopped = true;
    clearInterval(this.timer);
    this.recovery.stop();
    this.journal.stop();
    this.endpoints.stop();
    this.adviceBalancer.stop();
  }

  /** Stops commands, flushes the journal, writes that another box may lead, then stops. */
  async stopGracefully(): Promise<void> {
    this.hasTakenOver = false;
    clearInterval(this.timer);
    this.endpoints.stop();
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
    return !this.isStopped && this.getLogOutageMs() === 0 && this.journal.isAcknowledgedWithin(MAX_AGE_MS);
  }

  /** Retries calls to the log that are pending since its outage. `sentAt` is when the call that it has answered was sent. */
  retryPending(sentAt: number): void {
    this.journal.retryPending();
    this.endpoints.retryPendingRead(sentAt);
  }

  getDispatcher(): Dispatcher {
    return this.dispatcher;
  }

  /** Returns true once the jobs and endpoints of earlier leaders have been taken over. */
  isActive(): boolean {
    return this.hasTakenOver && !this.isStopped;
  }

  /** Logs the open waits, which the next leader does not know. */
  private logWaits(): void {
    const now = this.options.clock.getNow();
    for (const fields of this.dispatcher.listWaits(now)) {
      this.batcher.recordLine('Step waits.', fields, now);
    }
    this.batcher.stop();
  }

  private async readJobs(): Promise<void> {
    // Jobs are read after earlier leaders were fenced, so that they include every job that one of those has started.
    await this.recovery.run();
    while (!this.isStopped && !this.hasReadJobs) {
      this.hasReadJobs = await this.options.updateReplica();
      if (!this.hasReadJobs) {
        await waitForDelay(TICK_MS);
      }
    }
    this.takeOver();
  }

  /** Takes over the jobs of earlier leaders, then starts to poll the endpoints, once all records have been read. */
  private takeOver(): void {
    if (this.hasTakenOver || this.isStopped || !this.endpoints.hasReadRecords() || !this.hasReadJobs) {
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
    this.endpoints.startSessions();
    logger.info('Leading.', {
      epoch,
      jobs: this.dispatcher.countJobs(),
      endpoints: this.endpoints.countEndpoints(),
    });
  }

  /** Adds a job with the progress that earlier leaders have written, and writes its state if it differs from the written one. */
  private addJob(definition: JobDefinition): void {
    const progress = this.recovery.takeProgress(definition);
    this.services.add(definition.queue.service);
    this.dispatcher.handleJob(definition, progress, this.options.clock.getNow());
    if (progress.getState() !== 'queued') {
      this.journal.queueState(definition.id, progress.getState());
    }
  }

  /** Queues the records that follow from a poll. */
  private handlePolled(newEndCount: number): void {
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
    this.batcher.handleTick(now);
    if (this.hasTakenOver) {
      this.endpoints.startPendingSessions();
      this.dispatcher.handleTick(now);
      this.queueLoad(now);
      this.queueRound();
    }
  }

  private queueLoad(now: number): void {
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
      this.journal.queueLoad(digest);
      handleLoadDigest(digest);
    }
  }

  /** Returns true while this leader may grant leases; the next leader waits until the last of them has expired. */
  private canGrantLeases(): boolean {
    return this.journal.isAcknowledgedWithin(leaderTimings.unconfirmedGraceMs);
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
    this.checkHold(now);
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
  private checkHold(now: number): void {
    const outageMs = this.journal.getProgressOutageMs();
    const isHolding = outageMs > HOLD_STARTS_AFTER_MS;
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
        this.queueProgress(effect.job);
        return;
      case 'start':
        this.queueProgress(effect.job, () => void this.commands.sendStart(effect));
        return;
      case 'stop':
        void this.commands.sendStop(effect);
        return;
      case 'look':
        void this.endpoints.getSession(effect.endpoint)?.sendExtraPoll();
        return;
      case 'advise':
        this.options.recordCount('questions');
        void this.adviceBalancer.sendRequest(effect);
        return;
      case 'count':
        this.options.recordCount(effect.name, effect.amount);
        return;
      case 'tell':
        this.batcher.recordLine(effect.message, effect.fields, this.options.clock.getNow());
        return;
    }
  }

  private queueProgress(id: JobId, handleWritten?: () => void): void {
    const job = this.dispatcher.getJob(id);
    if (job !== undefined) {
      this.journal.queueProgress(job.definition, job.progress, handleWritten);
    }
  }

  private recordStart(job: JobId): void {
    const queue = this.dispatcher.getJob(job)?.definition.queue.name;
    if (queue !== undefined && this.options.handleLoadDigest !== undefined) {
      this.loadPublisher.recordStart(queue, this.options.clock.getNow());
    }
  }
}
