import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import { startDelay } from '../common/startDelay';
import type { EndpointId } from '../jobs/EndpointId';
import { formatProgress } from '../jobs/formatProgress';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import { jobKeys } from '../jobs/jobKeys';
import type { JobReplica } from '../jobs/JobReplica';
import { leaderKeys } from '../leadership/leaderKeys';
import { leaderTimings } from '../leadership/leaderTimings';
import { ExclusiveWriter } from '../store/ExclusiveWriter';
import type { LogClient } from '../store/LogClient';
import { LogFollower } from '../store/LogFollower';
import type { LogRecord } from '../store/LogRecord';
import { AdviceDesk } from './AdviceDesk';
import type { DispatchEffect } from './DispatchEffect';
import { Dispatcher } from './Dispatcher';
import type { EndpointClient } from './EndpointClient';
import type { EndpointProfile } from './EndpointProfile';
import { EndpointSession } from './EndpointSession';
import type { HoldAnswer } from './HoldAnswer';
import type { OrderAnswer } from './OrderAnswer';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;
type Held = Extract<HoldAnswer, { kind: 'held' }>;

interface LeaderDutyOptions {
  readonly epoch: number;
  readonly client: LogClient;
  readonly progressTopic: string;
  readonly endpointsTopic: string;
  readonly maxAppendBytes: number;
  readonly replica: JobReplica;
  /** Reads the jobs' topic on; true once everything written before the call is in the replica. */
  readonly startJobsRefresh: () => Promise<boolean>;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly parseEndpoint: (id: string, text: string) => EndpointProfile | undefined;
  readonly createEndpointClient: (profile: EndpointProfile) => EndpointClient;
  readonly readAskers: () => ReturnType<ConstructorParameters<typeof AdviceDesk>[0]['readAskers']>;
  readonly formatLeaderRecord: (isResigned: boolean) => string;
  /** A newer leader has been seen: this duty gives no more orders. */
  readonly handleDeposed: (detail: string) => void;
  readonly recordCount: (name: 'starts' | 'ends' | 'stops' | 'questions' | 'unanswered') => void;
  readonly recordTime: (name: 'startMs', valueMs: number) => void;
}

const TICK_MS = 100;
const ENDPOINTS_PAUSE_MS = 300;
const ENDPOINTS_POLL_MS = 1000;
const GATHER_MS = 3;
const START_TIMEOUT_MS = 300;
const STOP_TIMEOUT_MS = 250;
const RESIGN_TIMEOUT_MS = 600;

/** The work of the leader: joins the dispatcher with the log, the endpoints and the advice service. */
export class LeaderDuty {
  private readonly dispatcher: Dispatcher;
  private readonly writer: ExclusiveWriter;
  private readonly endpoints: LogFollower;
  private readonly desk: AdviceDesk;
  private readonly sessions = new Map<EndpointId, EndpointSession>();
  private readonly profiles = new Map<string, EndpointProfile>();
  private hasReadEndpoints = false;
  private hasReadJobs = false;
  private hasTakenOver = false;
  private isStopped = false;
  private isRoundQueued = false;
  private confirmedAt: number;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LeaderDutyOptions) {
    const { clock, client, epoch, replica } = options;
    this.confirmedAt = clock.readNow();
    const { unconfirmedMs, leaseMs, clockDriftShare, marginMs } = leaderTimings;
    this.dispatcher = new Dispatcher({
      unheardUntil: clock.readNow() + unconfirmedMs + leaseMs * (1 + clockDriftShare) + marginMs,
      readDefinition: (id) => replica.readDefinition(id),
    });
    this.writer = new ExclusiveWriter({
      client,
      topic: options.progressTopic,
      clock,
      producer: leaderKeys.producer,
      epoch,
      lastSequence: leaderKeys.claimSequence,
      gatherMs: GATHER_MS,
      maxBytes: options.maxAppendBytes,
      handleFenced: (detail) => this.handleDeposed(`the log refused a write: ${detail}`),
      handleConfirmed: (sentAt) => {
        this.confirmedAt = sentAt;
      },
      handleConnection: (isConnected, detail) =>
        options.logger.info(isConnected ? 'The log takes writes again.' : 'The log takes no writes.', {
          detail,
        }),
    });
    this.endpoints = new LogFollower({
      client,
      topic: options.endpointsTopic,
      clock,
      random: options.random,
      pauseMs: ENDPOINTS_PAUSE_MS,
      pollMs: ENDPOINTS_POLL_MS,
      handleRecords: (records) => this.handleEndpointRecords(records),
    });
    this.desk = new AdviceDesk({
      clock,
      readAskers: options.readAskers,
      handleAnswer: (question, answer) => {
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
    void this.endpoints.start();
    void this.startReadingJobs();
    this.timer = setInterval(() => this.applyTime(), TICK_MS);
  }

  /** Stops at once, with no more orders. */
  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
    this.writer.stop();
    this.endpoints.stop();
    this.desk.stop();
    for (const session of this.sessions.values()) {
      session.stop();
    }
  }

  /** Stops by plan: no more orders, then the word that another may lead. */
  async startResigning(): Promise<void> {
    this.hasTakenOver = false;
    clearInterval(this.timer);
    this.endpoints.stop();
    this.desk.stop();
    for (const session of this.sessions.values()) {
      session.stop();
    }
    // Without the log the word cannot be written: the next leader is told directly, or sees this process end.
    if (this.writer.readFailingMs() === 0) {
      this.writer.queueWrite(leaderKeys.recordKey, () => this.options.formatLeaderRecord(true));
      await this.writer.startFlush(RESIGN_TIMEOUT_MS);
    }
    this.stop();
  }

  /** A job was accepted, by any box. */
  handleJob(definition: JobDefinition): void {
    if (this.hasTakenOver) {
      const progress = this.options.replica.readProgress(definition);
      this.dispatcher.handleJob(definition, progress, this.options.clock.readNow());
      this.queueRound();
    }
  }

  handleCancel(id: JobId): void {
    this.dispatcher.handleCancel(id, this.options.clock.readWall());
    this.queueRound();
  }

  /** How long the log has not taken this leader's writes, in milliseconds. */
  readFailingMs(): number {
    return this.writer.readFailingMs();
  }

  readDispatcher(): Dispatcher {
    return this.dispatcher;
  }

  /** True once jobs and endpoints of earlier leaders have been taken in. */
  isActive(): boolean {
    return this.hasTakenOver && !this.isStopped;
  }

  private handleEndpointRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      const profile = value === '' ? undefined : this.options.parseEndpoint(key, value);
      if (profile === undefined) {
        const known = this.profiles.get(key);
        this.profiles.delete(key);
        if (known !== undefined) {
          this.options.logger.info('Endpoint left.', { endpoint: key });
          this.dispatcher.handleEndpointLeft(known.id);
        }
        continue;
      }
      this.applyProfile(profile);
    }
    this.hasReadEndpoints = true;
    this.startTakeOver();
    this.queueRound();
  }

  private async startReadingJobs(): Promise<void> {
    while (!this.isStopped && !this.hasReadJobs) {
      this.hasReadJobs = await this.options.startJobsRefresh();
      if (!this.hasReadJobs) {
        await startDelay(TICK_MS);
      }
    }
    this.startTakeOver();
  }

  private applyProfile(profile: EndpointProfile): void {
    const known = this.profiles.get(profile.id);
    this.profiles.set(profile.id, profile);
    this.dispatcher.handleEndpoint(profile);
    if (known === undefined || known.isDraining !== profile.isDraining) {
      const { id, service, isDraining, remainingMs } = profile;
      this.options.logger.info('Endpoint seen.', { endpoint: id, service, isDraining, remainingMs });
    }
    if (this.hasTakenOver) {
      this.startSession(profile);
    }
  }

  /** Takes in what earlier leaders left, then begins to look at the endpoints. */
  private startTakeOver(): void {
    if (this.hasTakenOver || this.isStopped || !this.hasReadEndpoints || !this.hasReadJobs) {
      return;
    }
    const { replica, clock, logger, epoch } = this.options;
    this.hasTakenOver = true;
    for (const definition of replica.readDefinitions()) {
      this.dispatcher.handleJob(definition, replica.readProgress(definition), clock.readNow());
      if (replica.isCancelled(definition.id)) {
        this.dispatcher.handleCancel(definition.id, clock.readWall());
      }
    }
    for (const profile of this.profiles.values()) {
      this.startSession(profile);
    }
    logger.info('Leading.', {
      epoch,
      jobs: this.dispatcher.readJobCount(),
      endpoints: this.profiles.size,
    });
  }

  private startSession(profile: EndpointProfile): void {
    const book = this.dispatcher.readBook(profile.id);
    if (this.sessions.has(profile.id) || book === undefined) {
      return;
    }
    const { clock } = this.options;
    const session = new EndpointSession({
      id: profile.id,
      book,
      client: this.options.createEndpointClient(profile),
      clock,
      isRenewing: () => clock.readNow() - this.confirmedAt < leaderTimings.unconfirmedMs,
      handleHeld: (answer, sentAt) => this.handleHeld(profile.id, answer, sentAt),
      handleSilence: (detail) => this.handleSilence(profile.id, detail),
      handleGone: () => this.handleGone(profile.id),
      handleFenced: () => this.handleDeposed(`endpoint ${profile.id} obeys a newer leader`),
    });
    this.sessions.set(profile.id, session);
    void session.start();
  }

  private handleHeld(id: EndpointId, answer: Held, sentAt: number): Promise<void> {
    const { clock } = this.options;
    const book = this.dispatcher.readBook(id);
    if (book !== undefined && (book.readSilentSince() !== undefined || !book.isSettled())) {
      this.options.logger.info('Endpoint answers.', {
        endpoint: id,
        running: answer.running.length,
        ended: answer.ended.length,
      });
    }
    answer.ended.forEach(() => this.options.recordCount('ends'));
    const input = { endpoint: id, running: answer.running, ended: answer.ended, sentAt };
    this.dispatcher.handleLook(input, clock.readNow(), clock.readWall());
    this.dispatcher.placeWaiting(clock.readNow(), clock.readWall());
    this.sendEffects();
    // Another look may have taken the same ends in already: they are durable only once its records are.
    return answer.ended.length === 0
      ? Promise.resolve()
      : new Promise((resolve) => this.writer.queueBarrier(resolve));
  }

  private handleSilence(id: EndpointId, detail: string): void {
    const { clock, logger, recordCount } = this.options;
    const book = this.dispatcher.readBook(id);
    if (book?.readSilentSince() === undefined) {
      logger.info('Endpoint does not answer.', { endpoint: id, detail });
    }
    recordCount('unanswered');
    this.dispatcher.handleSilence(id, clock.readNow());
    if (book === undefined || (!this.profiles.has(id) && book.readRunCount() === 0)) {
      this.sessions.get(id)?.stop();
      this.sessions.delete(id);
    }
  }

  private handleGone(id: EndpointId): void {
    this.options.logger.info('Endpoint life is over.', { endpoint: id });
    this.sessions.get(id)?.stop();
    this.sessions.delete(id);
    this.dispatcher.handleEndpointGone(id, this.options.clock.readNow());
    this.queueRound();
  }

  private handleDeposed(detail: string): void {
    if (!this.isStopped) {
      this.stop();
      this.options.handleDeposed(detail);
    }
  }

  private applyTime(): void {
    const { clock, formatLeaderRecord } = this.options;
    const now = clock.readNow();
    if (now - this.confirmedAt >= leaderTimings.heartbeatMs) {
      this.writer.queueWrite(leaderKeys.recordKey, () => formatLeaderRecord(false));
    }
    if (this.hasTakenOver) {
      this.dispatcher.applyTime(now);
      this.queueRound();
    }
  }

  /** Places and sends once, after all messages of this turn have been taken in. */
  private queueRound(): void {
    if (this.isRoundQueued || this.isStopped) {
      return;
    }
    this.isRoundQueued = true;
    setImmediate(() => {
      this.isRoundQueued = false;
      if (this.isActive()) {
        const { clock } = this.options;
        this.dispatcher.placeWaiting(clock.readNow(), clock.readWall());
        this.sendEffects();
      }
    });
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
        this.writeProgress(effect.job);
        return;
      case 'start':
        this.writeProgress(effect.job, () => void this.sendStart(effect));
        return;
      case 'stop':
        void this.sendStop(effect);
        return;
      case 'pace':
        void this.sendPace(effect);
        return;
      case 'advise':
        this.options.recordCount('questions');
        this.desk.queueQuestion(effect);
        return;
      case 'tell':
        this.options.logger.info(effect.sentence, effect.fields);
        return;
    }
  }

  private writeProgress(id: JobId, handleWritten?: () => void): void {
    const job = this.dispatcher.readJob(id);
    if (job === undefined) {
      return;
    }
    let written = '';
    const formatValue = (): string => {
      written = formatProgress(job.definition, job.progress);
      return written;
    };
    this.writer.queueWrite(jobKeys.toProgressKey(id), formatValue, () => {
      // Of several changes in one append only the last was formatted; the others are part of it.
      if (written !== '') {
        this.options.replica.applyProgress(id, written);
      }
      handleWritten?.();
    });
  }

  private async sendStart(effect: StartEffect): Promise<void> {
    const { clock, recordCount, recordTime, logger } = this.options;
    const { endpoint, order } = effect;
    const session = this.sessions.get(endpoint);
    const isWanted = !this.isStopped && this.dispatcher.handleRecorded(effect, clock.readNow());
    if (session === undefined || !isWanted) {
      if (isWanted) {
        this.dispatcher.handleUnsent(effect, clock.readNow());
      }
      this.queueRound();
      return;
    }
    recordCount('starts');
    const sentAt = clock.readNow();
    session.recordLease(sentAt);
    const answer = await session.readClient().sendStart(order, leaderTimings.leaseMs, START_TIMEOUT_MS);
    const now = clock.readNow();
    recordTime('startMs', now - sentAt);
    if (answer.kind !== 'done') {
      logger.info('Start not confirmed.', {
        job: effect.job,
        task: order.task,
        run: order.run,
        endpoint,
        ...answer,
      });
    }
    if (this.isFence(answer)) {
      return;
    }
    this.dispatcher.handleStartAnswer(endpoint, order.task, order.run, answer, now);
    this.queueRound();
  }

  private async sendStop(effect: Extract<DispatchEffect, { kind: 'stop' }>): Promise<void> {
    const { endpoint, task, run } = effect;
    this.options.recordCount('stops');
    const answer = await this.sessions.get(endpoint)?.readClient().sendStop(task, run, STOP_TIMEOUT_MS);
    if (answer === undefined || this.isFence(answer)) {
      return;
    }
    this.dispatcher.handleStopAnswer(endpoint, task, run, answer, this.options.clock.readNow());
    if (answer.kind === 'done' || answer.kind === 'rejected') {
      // Only a look that is sent after the stop was answered can prove that the run is not there.
      void this.sessions.get(endpoint)?.startExtraLook();
    }
    this.queueRound();
  }

  private async sendPace(effect: Extract<DispatchEffect, { kind: 'pace' }>): Promise<void> {
    const { endpoint, task, run, percent } = effect;
    const client = this.sessions.get(endpoint)?.readClient();
    const answer = await client?.sendPace(task, run, percent, STOP_TIMEOUT_MS);
    if (answer !== undefined) {
      this.isFence(answer);
    }
  }

  /** True when the endpoint obeys a newer leader; then this duty is over. */
  private isFence(answer: OrderAnswer): boolean {
    const isFenced = answer.kind === 'rejected' && answer.reason === 'fence';
    if (isFenced) {
      this.handleDeposed('an endpoint obeys a newer leader');
    }
    return isFenced || this.isStopped;
  }
}
