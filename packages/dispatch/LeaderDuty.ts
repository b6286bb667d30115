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
import { LoadTeller } from '../load/LoadTeller';
import { appendRules } from '../store/appendRules';
import type { LogClient } from '../store/LogClient';
import { adviceDesks } from './advice/adviceDesks';
import type { QuestionDesk } from './advice/QuestionDesk';
import type { QuestionDeskOptions } from './advice/QuestionDeskOptions';
import type { DispatchCount } from './DispatchCount';
import type { DispatchEffect } from './DispatchEffect';
import { Dispatcher } from './Dispatcher';
import type { DispatchWays } from './DispatchWays';
import type { EndpointClient } from './endpoints/EndpointClient';
import type { EndpointProfile } from './endpoints/EndpointProfile';
import { EndpointSessions } from './endpoints/EndpointSessions';
import { OrderSender } from './endpoints/OrderSender';
import { LeaderJournal } from './LeaderJournal';
import type { LeaderTime } from './LeaderTime';
import { LineGatherer } from '../sight/LineGatherer';
import { ProgressInheritance } from './ProgressInheritance';
import { RoundPacer } from './placing/RoundPacer';
import { RoundWatch } from './placing/RoundWatch';

interface LeaderDutyOptions {
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
  readonly startJobsRefresh: () => Promise<boolean>;
  readonly clock: MachineClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly ways: DispatchWays;
  /** Takes each digest of the load that the other boxes are told of; without it none is made. */
  readonly handleLoad?: (digest: string) => void;
  /** The limit of a customer in the configuration in force. */
  readonly readLimit: (customer: CustomerName) => TaskDemand | undefined;
  /** On failure says what is wrong with the record. */
  readonly parseEndpoint: (id: string, text: string) => Result<EndpointProfile, string>;
  readonly createEndpointClient: (profile: EndpointProfile, readToken: () => number) => EndpointClient;
  /** True for a service that the configuration in force names. */
  readonly isServiceRouted: (service: ServiceName) => boolean;
  /** Longest lease that an endpoint grants, in milliseconds. */
  readonly longestLeaseMs: number;
  readonly readAskers: QuestionDeskOptions['readAskers'];
  readonly formatLeaderRecord: (isResigned: boolean) => string;
  /** A newer leader has been seen: this duty gives no more orders. */
  readonly handleDeposed: (detail: string) => void;
  /** The log has answered, after it had not, a call that was sent at a monotonic time. */
  readonly handleLogBack: (answeredSentAt: number) => void;
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
      | DispatchCount,
    amount?: number,
  ) => void;
  readonly recordTime: (name: LeaderTime, valueMs: number) => void;
}

const TICK_MS = 100;
/**
 * Age of the newest answered write, from its sending, beyond which the log may have gone out: one is sent every 400 ms at the latest, looked
 * at every 100 ms, and counts as failed after 350 ms.
 */
const SHOWN_MS = leaderTimings.heartbeatMs + TICK_MS + appendRules.firstTimeoutMs;
/**
 * Once the log has taken no progress for so long, nothing more is placed, and what waits for its record gives its room back. Beyond
 * the first time limit of an append and a repetition, so that a log that is merely slow (up to 0.7 s an append) is waited for.
 */
const HOLD_STARTS_MS = 1000;
/** The work of the leader: joins the dispatcher with the log, the endpoints and the advice service. */
export class LeaderDuty {
  private readonly dispatcher: Dispatcher;
  private readonly journal: LeaderJournal;
  private readonly inheritance: ProgressInheritance;
  private readonly endpoints: EndpointSessions;
  private readonly lines: LineGatherer;
  private readonly desk: QuestionDesk;
  private readonly load: LoadTeller;
  private readonly orders: OrderSender;
  /** Services of the jobs that were taken in: their endpoints are needed also where the configuration has dropped them. */
  private readonly services = new Set<ServiceName>();
  private hasReadJobs = false;
  private hasTakenOver = false;
  private isHoldingStarts = false;
  private isStopped = false;
  private readonly rounds: RoundPacer;
  private readonly roundWatch: RoundWatch;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaderDutyOptions) {
    const { clock, client, epoch, replica } = options;
    this.lines = new LineGatherer(options.logger);
    this.load = new LoadTeller(epoch, clock.readNow());
    this.dispatcher = new Dispatcher({
      ...options.ways,
      unheardUntil: options.earlierLeasesEndAt,
      longestLeaseMs: options.longestLeaseMs,
      readDefinition: (id) => replica.readDefinition(id),
      readLimit: options.readLimit,
    });
    this.rounds = new RoundPacer({ clock, handleRound: () => this.applyRound() });
    this.roundWatch = new RoundWatch({
      logger: options.logger,
      readJobCount: () => this.dispatcher.readJobCount(),
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
      handleLogBack: options.handleLogBack,
    });
    this.orders = new OrderSender({
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
    this.desk = adviceDesks[options.ways.turnChoice]({
      clock,
      readAskers: options.readAskers,
      handleAnswer: (question, answer, tookMs) => {
        options.logger.info('Advice answered.', {
          step: question.step,
          cause: question.cause,
          asked: question.endpoints.length,
          allowed: answer?.size ?? 'no answer',
          tookMs,
          expectedMs: Math.round(question.expectedMs),
        });
        this.dispatcher.handleAdvice(question.step, question.endpoints, answer, clock.readNow());
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
  async startResigning(): Promise<void> {
    this.hasTakenOver = false;
    clearInterval(this.timer);
    this.endpoints.stop();
    this.desk.stop();
    // Without the log the word cannot be written: the next leader is told directly, or sees this process end.
    if (this.readFailingMs() === 0) {
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
  readFailingMs(): number {
    return this.journal.readFailingMs();
  }

  /** True while the newest write that the log has answered is as young as the heartbeat lets it be. */
  isLogShown(): boolean {
    return !this.isStopped && this.readFailingMs() === 0 && this.journal.isShownWithin(SHOWN_MS);
  }

  /** The log has answered this box: calls that wait for an answer since it went out are made again. */
  startAgain(answeredSentAt: number): void {
    this.journal.startAgain();
    this.endpoints.startAgain(answeredSentAt);
  }

  readDispatcher(): Dispatcher {
    return this.dispatcher;
  }

  /** True once jobs and endpoints of earlier leaders have been taken in. */
  isActive(): boolean {
    return this.hasTakenOver && !this.isStopped;
  }

  /** Tells what is known of the waits that go on: it goes with this leader. */
  private writeWaits(): void {
    const now = this.options.clock.readNow();
    for (const fields of this.dispatcher.readWaits(now)) {
      this.lines.recordLine('Step waits.', fields, now);
    }
    this.lines.stop();
  }

  private async startReadingJobs(): Promise<void> {
    // Jobs are read after earlier leaders have been shut out: each job that one of them began is then among them.
    await this.inheritance.start();
    while (!this.isStopped && !this.hasReadJobs) {
      this.hasReadJobs = await this.options.startJobsRefresh();
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
    for (const definition of replica.readDefinitionsInOrder()) {
      this.applyJob(definition);
      if (replica.isCancelled(definition.id)) {
        this.dispatcher.handleCancel(definition.id, clock.readWall());
      }
    }
    this.endpoints.startSessions();
    logger.info('Leading.', {
      epoch,
      jobs: this.dispatcher.readJobCount(),
      endpoints: this.endpoints.readCount(),
    });
  }

  /** Takes a job in as earlier leaders left it, and writes its state where they did not come to it. */
  private applyJob(definition: JobDefinition): void {
    const progress = this.inheritance.readProgress(definition);
    this.services.add(definition.queue.service);
    this.dispatcher.handleJob(definition, progress, this.options.clock.readNow());
    if (progress.readState() !== 'queued') {
      this.journal.queueState(definition.id, progress.readState());
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
      this.options.handleDeposed(detail);
    }
  }

  private applyTime(): void {
    const now = this.options.clock.readNow();
    this.journal.applyTime(now);
    this.lines.applyTime(now);
    if (this.hasTakenOver) {
      this.endpoints.applyTime();
      this.dispatcher.applyTime(now);
      this.queueLoad(now);
      this.queueRound();
    }
  }

  private queueLoad(now: number): void {
    const { clock, handleLoad, recordCount } = this.options;
    if (handleLoad === undefined) {
      return;
    }
    const wallMs = clock.readWall();
    const digest = this.load.createDue({ now, wallMs }, () => this.dispatcher.readLoad(wallMs));
    if (digest !== undefined) {
      recordCount('digests');
      this.journal.queueLoad(digest);
      handleLoad(digest);
    }
  }

  /** True while this leader may give leases; the next one waits until the last of them has ended. */
  private isRenewing(): boolean {
    return this.journal.isShownWithin(leaderTimings.unconfirmedMs);
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
    const turns = this.desk.readFreeTurns();
    if (this.isHoldingStarts) {
      this.dispatcher.sendQuestionsAhead(now, clock.readWall(), turns);
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
      this.dispatcher.revokeUnrecorded(now);
    }
  }

  /** Carries out what the dispatcher wants. */
  private sendEffects(): void {
    for (const effect of this.dispatcher.readEffects()) {
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
        void this.endpoints.readSession(effect.endpoint)?.startExtraLook();
        return;
      case 'advise':
        this.options.recordCount('questions');
        void this.desk.sendQuestion(effect);
        return;
      case 'count':
        this.options.recordCount(effect.name, effect.amount);
        return;
      case 'tell':
        this.lines.recordLine(effect.sentence, effect.fields, this.options.clock.readNow());
        return;
    }
  }

  private queueProgress(id: JobId, handleWritten?: () => void): void {
    const job = this.dispatcher.readJob(id);
    if (job !== undefined) {
      this.journal.queueProgress(job.definition, job.progress, handleWritten);
    }
  }

  private recordStart(job: JobId): void {
    const queue = this.dispatcher.readJob(job)?.definition.queue.name;
    if (queue !== undefined && this.options.handleLoad !== undefined) {
      this.load.recordStart(queue, this.options.clock.readNow());
    }
  }
}
