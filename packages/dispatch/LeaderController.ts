import type { CustomerName } from '../customers/CustomerName';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import { startDelay } from '../common/startDelay';
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
import { ProgressInheritance } from './ProgressInheritance';
import { RoundThrottle } from './placing/RoundThrottle';
import { SlowRoundLogger } from './placing/SlowRoundLogger';

interface LeaderControllerOptions {
  readonly epoch: number;
  /** Monotonic time at which the claim was sent that made this process lead. */
  readonly claimedAt: number;
  /** Monotonic time by which all that earlier leaders leased has ended, on endpoints that were not heard since. */
  readonly earlierLeasesEndAt: number;
  readonly client: LogClient;
  /** Topic of the states of jobs and of the leader's record, which every box follows. */
  readonly statesTopic: string;
  /** Topic of the progress of jobs, which only a new leader reads. */
  readonly progressTopic: string;
  readonly endpointsTopic: string;
  readonly maxAppendBytes: number;
  readonly replica: JobReplica;
  /** Reads the jobs' topic on; true once everything written before the call is in the replica. */
  readonly updateReplica: () => Promise<boolean>;
  readonly clock: MachineClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly policies: DispatchPolicies;
  /** Takes each digest of the load that the other boxes are told of; without it none is made. */
  readonly handleLoadDigest?: (digest: string) => void;
  /** The limit of a customer in the configuration in force. */
  readonly getLimit: (customer: CustomerName) => TaskDemand | undefined;
  /** On failure says what is wrong with the record. */
  readonly parseEndpoint: (id: string, text: string) => Result<EndpointProfile, string>;
  readonly createEndpointClient: (profile: EndpointProfile, readToken: () => number) => EndpointClient;
  /** True for a service that the configuration in force names. */
  readonly isServiceRouted: (service: ServiceName) => boolean;
  /** Longest lease that an endpoint grants, in milliseconds. */
  readonly longestLeaseMs: number;
  readonly listChannels: AdviceBalancerOptions['listChannels'];
  readonly formatLeaderRecord: (isResigned: boolean) => string;
  /** A newer leader has been seen: this duty gives no more orders. */
  readonly handleLeadershipLost: (detail: string) => void;
  /** The log has answered, after it had not, a call that was sent at a monotonic time. */
  readonly handleLogRecovered: (answeredSentAt: number) => void;
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
/**
 * Age of the newest answered write, from its sending, beyond which the log may have gone out: one is sent every 400 ms at the latest, looked
 * at every 100 ms, and counts as failed after 350 ms.
 */
const SHOWN_MS = leaderTimings.heartbeatMs + TICK_MS + appendRules.initialTimeoutMs;
/**
 * Once the log has taken no progress for so long, nothing more is placed, and what waits for its record gives its room back. Beyond
 * the first time limit of an append and a repetition, so that a log that is merely slow (up to 0.7 s an append) is waited for.
 */
const HOLD_STARTS_MS = 1000;
/** The work of the leader: joins the dispatcher with the log, the endpoints and the advice service. */
export class LeaderController {
  private readonly dispatcher: Dispatcher;
  private readonly journal: LeaderJournal;
  private readonly inheritance: ProgressInheritance;
  private readonly endpoints: EndpointSessions;
  private readonly lines: LineBatcher;
  private readonly desk: AdviceBalancer;
  private readonly load: LoadPublisher;
  private readonly orders: CommandSender;
  /** Services of the jobs that were taken in: their endpoints are needed also where the configuration has dropped them. */
  private readonly services = new Set<ServiceName>();
  private hasReadJobs = false;
  private hasTakenOver = false;
  private isHoldingStarts = false;
  private isStopped = false;
  private readonly rounds: RoundThrottle;
  private readonly roundWatch: SlowRoundLogger;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaderControllerOptions) {
    const { clock, client, epoch, replica } = options;
    this.lines = new LineBatcher(options.logger);
    this.load = new LoadPublisher(epoch, clock.readNow());
    this.dispatcher = new Dispatcher({
      ...options.policies,
      earlierLeasesEndAt: options.earlierLeasesEndAt,
      longestLeaseMs: options.longestLeaseMs,
      getDefinition: (id) => replica.getDefinition(id),
      getLimit: options.getLimit,
    });
    this.rounds = new RoundThrottle({ clock, handleRound: () => this.applyRound() });
    this.roundWatch = new SlowRoundLogger({
      logger: options.logger,
      readJobCount: () => this.dispatcher.countJobs(),
      recordTime: options.recordTime,
    });
    this.journal = new LeaderJournal({
      ...options,
      handleFenced: (detail) => this.handleDeposed(`the log refused a write: ${detail}`),
    });
    this.inheritance = new ProgressInheritance({
      client,
      topic: options.progressTopic,
      epoch,
      handleUnreadable: (job) => options.logger.error('Progress of a job cannot be read.', { job }),
      handleFenced: (detail) => this.handleDeposed(`the log refused a write: ${detail}`),
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
      isRenewing: () => this.isRenewing(),
      handleLooked: (newEndCount) => this.handleLooked(newEndCount),
      startFlush: () => this.journal.startFlush(),
      recordCount: (name) => options.recordCount(name),
      handleChanged: () => {
        this.startTakeOver();
        this.queueRound();
      },
      handleFenced: (detail) => this.handleDeposed(detail),
      handleLogBack: options.handleLogRecovered,
    });
    this.orders = new CommandSender({
      ...options,
      dispatcher: this.dispatcher,
      endpoints: this.endpoints,
      lines: this.lines,
      isStopped: () => this.isStopped,
      isRenewing: () => this.isRenewing(),
      handleStarted: (job) => this.recordStart(job),
      handleChanged: () => this.queueRound(),
      handleDeposed: (detail) => this.handleDeposed(detail),
    });
    this.desk = adviceBalancers[options.policies.turnChoice]({
      clock,
      listChannels: options.listChannels,
      handleResponse: (question, answer, tookMs) => {
        options.logger.info('Advice answered.', {
          step: question.step,
          cause: question.cause,
          asked: question.endpoints.length,
          allowed: answer?.size ?? 'no answer',
          tookMs,
          expectedMs: Math.round(question.expectedMs),
        });
        this.dispatcher.handleAdviceResponse(question.step, question.endpoints, answer, clock.readNow());
        this.queueRound();
      },
    });
  }

  /**
   * Begins: heartbeats at once; orders once the endpoints' records and all jobs have been read, since the end of a run is
   * understood, and acknowledged, only with its job at hand.
   */
  start(): void {
    this.endpoints.start();
    void this.startReadingJobs();
    this.timer = setInterval(() => this.applyTime(), TICK_MS);
  }

  /** Stops at once, with no more orders. */
  stop(): void {
    if (!this.isStopped) {
      this.writeWaits();
    }
    this.isStopped = true;
    clearInterval(this.timer);
    this.inheritance.stop();
    this.journal.stop();
    this.endpoints.stop();
    this.desk.stop();
  }

  /** Stops by plan: no more orders, then the word that another may lead. */
  async stopGracefully(): Promise<void> {
    this.hasTakenOver = false;
    clearInterval(this.timer);
    this.endpoints.stop();
    this.desk.stop();
    // Without the log the word cannot be written: the next leader is told directly, or sees this process end.
    if (this.getLogOutageMs() === 0) {
      await this.journal.startResigning();
    }
    this.stop();
  }

  /** A job was accepted, by any box. */
  handleJob(definition: JobDefinition): void {
    if (this.hasTakenOver) {
      const { id, queue, steps } = definition;
      this.options.logger.info('Job taken in.', { job: id, queue: queue.name, steps: steps.length });
      this.applyJob(definition);
      this.queueRound();
    }
  }

  handleCancel(id: JobId): void {
    this.dispatcher.handleCancel(id, this.options.clock.readWall());
    this.queueRound();
  }

  /** How long the log has not taken this leader's writes, in milliseconds. */
  getLogOutageMs(): number {
    return this.journal.readFailingMs();
  }

  /** True while the newest write that the log has answered is as young as the heartbeat lets it be. */
  isHeartbeatFresh(): boolean {
    return !this.isStopped && this.getLogOutageMs() === 0 && this.journal.isAcknowledgedWithin(SHOWN_MS);
  }

  /** The log has answered this box: calls that wait for an answer since it went out are made again. */
  retryPending(answeredSentAt: number): void {
    this.journal.startAgain();
    this.endpoints.retryPending(answeredSentAt);
  }

  getDispatcher(): Dispatcher {
    return this.dispatcher;
  }

  /** True once jobs and endpoints of earlier leaders have been taken in. */
  isActive(): boolean {
    return this.hasTakenOver && !this.isStopped;
  }

  /** Tells what is known of the waits that go on: it goes with this leader. */
  private writeWaits(): void {
    const now = this.options.clock.readNow();
    for (const fields of this.dispatcher.listWaits(now)) {
      this.lines.recordLine('Step waits.', fields, now);
    }
    this.lines.stop();
  }

  private async startReadingJobs(): Promise<void> {
    // Jobs are read after earlier leaders have been shut out: each job that one of them began is then among them.
    await this.inheritance.start();
    while (!this.isStopped && !this.hasReadJobs) {
      this.hasReadJobs = await this.options.updateReplica();
      if (!this.hasReadJobs) {
        await startDelay(TICK_MS);
      }
    }
    this.startTakeOver();
  }

  /** Takes in what earlier leaders left, then begins to look at the endpoints. */
  private startTakeOver(): void {
    if (this.hasTakenOver || this.isStopped || !this.endpoints.hasReadAll() || !this.hasReadJobs) {
      return;
    }
    const { replica, clock, logger, epoch } = this.options;
    this.hasTakenOver = true;
    for (const definition of replica.listDefinitionsInOrder()) {
      this.applyJob(definition);
      if (replica.isCancelled(definition.id)) {
        this.dispatcher.handleCancel(definition.id, clock.readWall());
      }
    }
    this.endpoints.startSessions();
    logger.info('Leading.', {
      epoch,
      jobs: this.dispatcher.countJobs(),
      endpoints: this.endpoints.countEndpoints(),
    });
  }

  /** Takes a job in as earlier leaders left it, and writes its state where they did not come to it. */
  private applyJob(definition: JobDefinition): void {
    const progress = this.inheritance.readProgress(definition);
    this.services.add(definition.queue.service);
    this.dispatcher.handleJob(definition, progress, this.options.clock.readNow());
    if (progress.getState() !== 'queued') {
      this.journal.queueState(definition.id, progress.getState());
    }
  }

  /** Queues the records of what a look has shown. */
  private handleLooked(newEndCount: number): void {
    this.options.recordCount('ends', newEndCount);
    this.sendEffects();
    this.queueRound();
  }

  private handleDeposed(detail: string): void {
    if (!this.isStopped) {
      this.stop();
      this.options.handleLeadershipLost(detail);
    }
  }

  private applyTime(): void {
    const now = this.options.clock.readNow();
    this.journal.handleTick(now);
    this.lines.applyTime(now);
    if (this.hasTakenOver) {
      this.endpoints.startPendingSessions();
      this.dispatcher.handleTick(now);
      this.queueLoad(now);
      this.queueRound();
    }
  }

  private queueLoad(now: number): void {
    const { clock, handleLoadDigest: handleLoad, recordCount } = this.options;
    if (handleLoad === undefined) {
      return;
    }
    const wallMs = clock.readWall();
    const digest = this.load.createDueDigest({ now, wallMs }, () => this.dispatcher.computeLoad(wallMs));
    if (digest !== undefined) {
      recordCount('digests');
      this.journal.queueLoad(digest);
      handleLoad(digest);
    }
  }

  /** True while this leader may give leases; the next one waits until the last of them has ended. */
  private isRenewing(): boolean {
    return this.journal.isAcknowledgedWithin(leaderTimings.unconfirmedGraceMs);
  }

  private queueRound(): void {
    if (!this.isStopped) {
      this.rounds.queueRound();
    }
  }

  private applyRound(): void {
    if (!this.isActive()) {
      return;
    }
    const { clock } = this.options;
    const now = clock.readNow();
    this.checkHold(now);
    const turns = this.desk.getFreeSlots();
    if (this.isHoldingStarts) {
      this.dispatcher.requestAdviceAhead(now, clock.readWall(), turns);
    } else {
      this.dispatcher.placeWaiting(now, clock.readWall(), turns);
    }
    this.sendEffects();
    this.roundWatch.recordRound(clock.readNow() - now, now);
  }

  /** Starts are held while they could not be recorded: they would keep room, and leave with tickets that have run out. */
  private checkHold(now: number): void {
    const failingMs = this.journal.readProgressFailingMs();
    const isHolding = failingMs > HOLD_STARTS_MS;
    if (isHolding === this.isHoldingStarts) {
      return;
    }
    this.isHoldingStarts = isHolding;
    const sentence = isHolding ? 'Starts are held: the log takes no progress.' : 'Starts go on.';
    this.options.logger.info(sentence, { failingMs: Math.round(failingMs) });
    if (isHolding) {
      this.dispatcher.cancelUnrecordedStarts(now);
    }
  }

  /** Carries out what the dispatcher wants. */
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
        this.queueProgress(effect.job, () => void this.orders.sendStart(effect));
        return;
      case 'stop':
        void this.orders.sendStop(effect);
        return;
      case 'look':
        void this.endpoints.getSession(effect.endpoint)?.sendExtraPoll();
        return;
      case 'advise':
        this.options.recordCount('questions');
        void this.desk.sendRequest(effect);
        return;
      case 'count':
        this.options.recordCount(effect.name, effect.amount);
        return;
      case 'tell':
        this.lines.recordLine(effect.message, effect.fields, this.options.clock.readNow());
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
      this.load.recordStart(queue, this.options.clock.readNow());
    }
  }
}
