import { BoxServer } from '../boxes/BoxServer';
import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import { waitForDelay } from '../common/waitForDelay';
import type { AdviceClient } from '../dispatch/advice/AdviceClient';
import { LeaderController } from '../dispatch/LeaderController';
import { QueueRouter } from '../gateway/QueueRouter';
import { formatCustomerMetrics } from '../customers/formatCustomerMetrics';
import type { JobCaller } from '../customers/JobCaller';
import { CallerAuthorizer } from '../gateway/CallerAuthorizer';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import { JobReplica } from '../jobs/JobReplica';
import type { JobState } from '../jobs/JobState';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';
import { LeaderWatch } from '../leadership/LeaderWatch';
import { Leadership } from '../leadership/Leadership';
import { admissionModes } from '../load/admissionModes';
import { loadKeys } from '../load/loadKeys';
import { LoadView } from '../load/LoadView';
import type { LogClient } from '../store/LogClient';
import type { LogRecord } from '../store/LogRecord';
import type { LogWrite } from '../store/LogWrite';
import { LogWriter } from '../store/LogWriter';
import type { WriteOutcome } from '../store/WriteOutcome';
import { ConfigurationDesk } from './ConfigurationDesk';
import { JobDesk } from './JobDesk';
import { jobWritings } from './jobWritings';
import { LeaderHandOver } from './LeaderHandOver';
import { LoadDoor } from './LoadDoor';
import { OtherBoxes } from './OtherBoxes';
import { readCustomerFigures } from './readCustomerFigures';
import type { ServeAdapter } from './ServeAdapter';
import { ServeMetrics } from './ServeMetrics';
import type { ServeSettings } from './ServeSettings';
import { TopicFollowers } from './TopicFollowers';
import { topics } from './topics';

type Election = Parameters<ConstructorParameters<typeof Leadership>[0]['handleElected']>[0];

interface ServeProcessOptions {
  readonly settings: ServeSettings;
  readonly adapter: ServeAdapter;
  readonly clock: MachineClock;
  readonly random: Random;
  /** Unique for each start of the box. */
  readonly process: string;
  readonly createPartLogger: (part: string) => Logger;
}

const TICK_MS = 50;
const TAKE_OVER_READ_MS = 1000;
/** Time for the read that shows whether a box can use the log; below the limit of the question itself. */
const FRESH_LOG_MS = 150;
const GATHER_MS = 2;
/** Of the time that another box waits for its write; the rest is for the way back. */
const FORWARDED_SHARE = 0.9;
/** The balancer notices within two of its questions, one a second. */
const LEAVE_NOTICE_MS = 2600;
/** A leader whose writes have failed for so long sends callers elsewhere. */
const LOG_OUT_MS = 600;

/** One entry process: makes the parts, joins them by their messages, starts and stops them in order. */
export class ServeProcess {
  private readonly log: LogClient;
  private readonly logger: Logger;
  private readonly replica = new JobReplica();
  private readonly router = new QueueRouter();
  private readonly metrics = new ServeMetrics();
  private readonly load = new LoadView();
  private readonly writer: LogWriter;
  private readonly followers: TopicFollowers;
  private readonly leadership: Leadership;
  private readonly advice: AdviceClient;
  private readonly others: OtherBoxes;
  private readonly watch: LeaderWatch;
  private readonly configuration: ConfigurationDesk;
  private readonly handOver: LeaderHandOver;
  private readonly boxServer: BoxServer;
  private readonly callers: ReturnType<ServeAdapter['createCallerServer']>;
  private readonly jobs: JobDesk;
  private duty: LeaderController | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isStopping = false;

  constructor(private readonly options: ServeProcessOptions) {
    const { adapter, clock, settings, random } = options;
    this.logger = options.createPartLogger('serve');
    this.log = adapter.createLogClient();
    this.advice = adapter.createAdviceClient();
    this.others = new OtherBoxes({
      settings,
      process: options.process,
      clock,
      logger: options.createPartLogger('leader'),
      readLeader: () => this.leadership.getRecord(),
      isLeading: () => this.duty !== undefined && !this.isStopping,
      isStopping: () => this.isStopping,
    });
    this.writer = new LogWriter({
      client: this.log,
      topic: topics.jobs,
      clock,
      lingerMs: GATHER_MS,
      maxBytes: settings.maxAppendBytes,
      random,
      probe: this.others.createAnnouncement(),
    });
    this.followers = this.createFollowers();
    this.leadership = new Leadership({
      client: this.log,
      topic: topics.states,
      follower: this.followers.states,
      box: settings.box,
      process: options.process,
      clock,
      random,
      logger: options.createPartLogger('leadership'),
      isOutranked: () => this.others.directory.readStronger(settings).length > 0,
      handleElected: (election) => this.startLeading(election),
    });
    this.configuration = this.createConfigurationDesk();
    this.handOver = this.createHandOver();
    this.watch = new LeaderWatch({
      handleEnded: (process) => this.leadership.handleLeaderEnded(process),
    });
    this.jobs = this.createJobDesk();
    this.callers = adapter.createCallerServer({
      router: this.router,
      jobs: this.jobs,
      isReady: () => this.isReady(),
      isLeaving: () => this.isStopping,
      gate: this.createGate(),
    });
    this.boxServer = new BoxServer({
      address: settings.internal,
      advice: this.advice,
      formatMetrics: () => this.formatMetrics(),
      isLogUsable: () => this.isLogUsable(),
      readLeaderState: (id, caller, timeoutMs) => this.readLeaderState(id, caller, timeoutMs),
      writeForOther: (write, timeoutMs) => this.writeForOther(write, timeoutMs),
      readConfiguration: (knownVersion) => this.configuration.readAnswer(knownVersion),
      handleIntroduction: (introduction) => this.handleIntroduction(introduction),
      handleHandOver: (epoch) => this.leadership.handleHandover(epoch),
    });
  }

  async start(): Promise<void> {
    await this.boxServer.start();
    await this.callers.start();
    this.followers.startNext();
    void this.others.startAnnouncing(this.writer);
    this.timer = setInterval(() => this.applyTime(), TICK_MS);
    const { box, hall, front, log } = this.options.settings;
    this.logger.info('Started.', { process: this.options.process, box, hall, front, log });
  }

  /** Stops by plan: hands leadership over, sends callers elsewhere, finishes what is under way. */
  async stop(): Promise<void> {
    if (this.isStopping) {
      return;
    }
    this.isStopping = true;
    this.logger.info('Stopping.', { isLeading: this.duty !== undefined });
    this.leadership.stop();
    const leaveAt = this.options.clock.getNow() + LEAVE_NOTICE_MS;
    await this.handOver.startLeaving();
    await waitForDelay(Math.max(0, leaveAt - this.options.clock.getNow()));
    clearInterval(this.timer);
    this.watch.setLeader(undefined);
    await this.callers.stop();
    await this.boxServer.stop();
    this.followers.stop();
    await this.log.stop();
    this.logger.info('Stopped.');
  }

  /** The settings were read again. Addresses hold for the life of a process, so nothing changes. */
  handleReload(): void {
    this.logger.info('Settings read again.', { box: this.options.settings.box });
  }

  /** True while callers should be sent here. */
  isReady(): boolean {
    return !this.isStopping && this.hasLog() && this.router.getConfiguration() !== undefined;
  }

  /** True while the log answers this box. Topics are read at different paces: whichever notices first counts. */
  private hasLog(): boolean {
    return this.isReading() && (this.duty?.getLogOutageMs() ?? 0) < LOG_OUT_MS;
  }

  private isReading(): boolean {
    return this.followers.isReading(this.duty !== undefined);
  }

  /** The state of a job for another box, while this one leads. */
  private async readLeaderState(
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ): Promise<JobState | 'absent' | undefined> {
    if (this.duty?.isActive() !== true) {
      return undefined;
    }
    const outcome = await this.jobs.getJobState(id, caller, this.options.clock.getNow() + timeoutMs);
    return outcome.kind === 'answered' ? outcome.answer : undefined;
  }

  /** Appends a record for another box along with this one's own, and takes it in. */
  private async writeForOther(write: LogWrite, timeoutMs: number): Promise<WriteOutcome> {
    if (this.isStopping || this.writer.getOutageMs() > LOG_OUT_MS) {
      return 'refused';
    }
    const deadline = this.options.clock.getNow() + timeoutMs * FORWARDED_SHARE;
    const outcome = await this.writer.writeRecord(write, deadline);
    if (outcome === 'written') {
      this.handleJobWrites([write]);
    }
    return outcome;
  }

  private createJobDesk(): JobDesk {
    return new JobDesk({
      replica: this.replica,
      writer: jobWritings[this.options.settings.jobWriting]({
        own: this.writer,
        clock: this.options.clock,
        logger: this.options.createPartLogger('jobs'),
        readLeader: () => this.others.readLeaderContact(),
        isReadingSigns: () => this.followers.states.isFollowing(),
        hasSignSince: (after, withinMs) => this.leadership.hasActivitySince(after, withinMs),
      }),
      jobsFollower: this.followers.jobs,
      statesFollower: this.followers.states,
      clock: this.options.clock,
      logger: this.options.createPartLogger('jobs'),
      metrics: this.metrics,
      door: this.createDoor(),
      isReading: () => this.isReading(),
      isLeading: () => this.duty?.isActive() ?? false,
      startAskingLeader: (id, caller, timeoutMs) => this.others.startAskingLeader(id, caller, timeoutMs),
      handleAccepted: (definition) => this.applyAccepted(definition),
      handleCancelled: (id) => this.applyCancelled(id),
    });
  }

  private createDoor(): LoadDoor {
    const { clock, settings } = this.options;
    return new LoadDoor({
      door: settings.door,
      view: this.load,
      clock,
      logger: this.options.createPartLogger('jobs'),
      metrics: this.metrics,
      readEpoch: () => this.leadership.getRecord()?.epoch,
      startJobsRefresh: (deadline) => this.followers.jobs.waitForRefresh(deadline - clock.getNow()),
      isKnown: (id) => this.replica.getDefinition(id) !== undefined,
    });
  }

  /** Another box says that it leads: one that the log turns away hears of it by this alone. */
  private handleIntroduction(introduction: LeaderAnnouncement): void {
    const { record } = introduction;
    this.others.recordIntroduction(introduction);
    const ledEpoch = this.leadership.getRecord()?.epoch ?? 0;
    if (!this.leadership.handleAnnouncement(record) || this.duty === undefined) {
      return;
    }
    this.duty.stop();
    this.handleDeposed(ledEpoch, `${record.process} leads epoch ${record.epoch}`);
  }

  private createHandOver(): LeaderHandOver {
    const { clock, settings } = this.options;
    return new LeaderHandOver({
      settings,
      clock,
      boxes: this.others.clients,
      directory: this.others.directory,
      readDuty: () => this.duty,
      readEpoch: () => this.leadership.getRecord()?.epoch ?? 0,
      startCallsAgain: () => this.handleLogBack(clock.getNow()),
      startLogRead: () => this.followers.jobs.waitForRefresh(FRESH_LOG_MS),
      handleLeft: () => {
        this.duty = undefined;
      },
      handleDeposed: (epoch, detail) => this.handleDeposed(epoch, detail),
    });
  }

  private createFollowers(): TopicFollowers {
    const { adapter, clock, random } = this.options;
    return new TopicFollowers({
      log: this.log,
      operatorTopic: adapter.operatorTopic,
      clock,
      random,
      logger: this.logger,
      handleJobs: (records) => this.handleJobRecords(records),
      handleStates: (records) => {
        this.replica.foldStateRecords(records);
        this.leadership.foldRecords(records);
        this.foldLoad(records);
      },
      handleOperator: (records) => this.configuration.handleRecords(records),
      handleStatesConnection: (isConnected) => this.leadership.handleConnection(isConnected),
      handleLogBack: (answeredSentAt) => this.handleLogBack(answeredSentAt),
    });
  }

  private foldLoad(records: readonly LogWrite[]): void {
    const epoch = this.leadership.getRecord()?.epoch ?? 0;
    const refusedCount = this.load.foldRecords(records, this.options.clock.getNow(), epoch);
    if (refusedCount > 0) {
      this.metrics.recordCount('digestsRefused', refusedCount);
      this.logger.warn('Load that no leader has told is passed over.', { records: refusedCount, epoch });
    }
  }

  /** One answer of the log shows that it is back: whatever still waits for an older call is tried again at once. */
  private handleLogBack(answeredSentAt: number): void {
    this.followers.startAgain(answeredSentAt);
    this.writer.retryPending();
    this.duty?.retryPendingLogCalls(answeredSentAt);
  }

  private handleJobRecords(records: readonly LogRecord[]): void {
    this.others.directory.foldRecords(records, this.options.clock.getNow());
    this.handleJobWrites(records);
  }

  private handleJobWrites(records: readonly LogWrite[]): void {
    const { accepted, cancelled, invalid: refused } = this.replica.foldJobRecords(records);
    refused.forEach((job) => this.logger.warn('Job record cannot be read and is passed over.', { job }));
    accepted.forEach((definition) => this.duty?.handleJob(definition));
    cancelled.forEach((id) => this.duty?.handleCancel(id));
  }

  private createConfigurationDesk(): ConfigurationDesk {
    const { adapter, clock, random, settings, createPartLogger } = this.options;
    return new ConfigurationDesk({
      adapter,
      router: this.router,
      source: settings.configurationSource,
      clock,
      random,
      logger: createPartLogger('configuration'),
      maxAgeMs: settings.maxConfigurationAgeMs,
      isFollowing: () => this.followers.operator.isFollowing(),
      readFollowedAt: () => this.followers.operator.getLastSuccessAt(),
      readOthers: () => this.others.clients.readOthers(),
    });
  }

  private createGate(): CallerAuthorizer {
    return new CallerAuthorizer({
      router: this.router,
      isFresh: () => this.configuration.isFresh(),
      handleRejected: (queue, reason) => {
        this.metrics.recordCount('keysRefused');
        this.logger.info('Call refused for its key.', {
          queue,
          reason,
          configuration: this.router.getConfiguration()?.version,
          configurationAgeMs: Math.round(this.configuration.readAgeMs()),
        });
      },
    });
  }

  private applyAccepted(definition: JobDefinition): void {
    if (this.replica.recordDefinition(definition)) {
      this.duty?.handleJob(definition);
    }
  }

  private applyCancelled(id: JobId): void {
    if (this.replica.recordCancel(id)) {
      this.duty?.handleCancel(id);
    }
  }

  private startLeading(election: Election): void {
    const { epoch } = election;
    const { adapter, clock, random, settings } = this.options;
    if (this.isStopping) {
      return;
    }
    this.metrics.recordCount('elections');
    this.handOver.recordElected();
    this.followers.startLeading();
    this.duty = new LeaderController({
      ...election,
      client: this.log,
      statesTopic: topics.states,
      progressTopic: topics.progress,
      endpointsTopic: adapter.endpointsTopic,
      maxAppendBytes: settings.maxAppendBytes,
      replica: this.replica,
      updateReplica: () => this.followers.jobs.waitForRefresh(TAKE_OVER_READ_MS),
      clock,
      random,
      logger: this.options.createPartLogger('leader'),
      policies: settings,
      // A leader does not read what it writes.
      ...(admissionModes[settings.door].isLoadPublished
        ? { handleLoadDigest: (value) => this.foldLoad([{ key: loadKeys.digestKey, value }]) }
        : {}),
      getCustomerLimit: (customer) => this.router.getCustomers().findByName(customer)?.limit,
      parseEndpoint: (id, text) => adapter.parseEndpoint(id, text),
      createEndpointClient: (profile, readToken) => adapter.createEndpointClient(profile, readToken),
      isServiceRouted: (service) => this.router.hasService(service),
      longestLeaseMs: settings.longestLeaseMs,
      listChannels: () => this.readAskers(),
      formatLeaderRecord: (isResigned) => this.leadership.formatRecord(epoch, isResigned),
      handleLeadershipLost: (detail) => this.handleDeposed(epoch, detail),
      handleLogRecovered: (answeredSentAt) => this.handleLogBack(answeredSentAt),
      recordCount: (name, amount) => this.metrics.recordCount(name, amount),
      recordTime: (name, valueMs) => this.metrics.recordTime(name, valueMs),
    });
    this.duty.start();
  }

  private handleDeposed(epoch: number, detail: string): void {
    this.logger.info('Leading no more.', { epoch, detail });
    this.duty = undefined;
    this.leadership.handleLeadershipLost();
    this.followers.stopLeading();
  }

  /** This box first, then the others that have announced themselves. */
  private readAskers(): { box: string; isOwn: boolean; client: AdviceClient }[] {
    const own = { box: this.options.settings.box, isOwn: true, client: this.advice };
    const others = this.others.clients.readOthers().map((other) => ({ ...other, isOwn: false }));
    return [own, ...others];
  }

  /**
   * A leader answers from its own writes, also beside a log whose reads take longer than the time of the question: boxes that the log turned
   * away refused every job with reads of 180 ms. Other boxes read now: what they read up to a second ago says nothing about an outage that has
   * just begun for all.
   */
  private async isLogUsable(): Promise<boolean> {
    const { clock } = this.options;
    if (this.duty?.isHeartbeatFresh() === true && !this.isStopping && this.writer.getOutageMs() === 0) {
      return true;
    }
    const askedAt = clock.getNow();
    const isReading = await this.followers.states.waitForRefresh(FRESH_LOG_MS);
    const failingMs = this.writer.getOutageMs();
    const isUsable = isReading && failingMs === 0 && !this.isStopping;
    if (!isUsable) {
      this.logger.info('Another box was told that the log cannot be used from here.', {
        isReading,
        readMs: Math.round(clock.getNow() - askedAt),
        writesFailingMs: Math.round(failingMs),
        isStopping: this.isStopping,
      });
    }
    return isUsable;
  }

  private applyTime(): void {
    this.leadership.handleTick();
    const record = this.leadership.getRecord();
    const leaderBox = this.others.directory.readBoxes().find(({ box }) => box === record?.box);
    const isOther = record !== undefined && record.process !== this.options.process;
    this.watch.setLeader(
      isOther && leaderBox !== undefined
        ? { process: record.process, address: leaderBox.address }
        : undefined,
    );
    this.handOver.applyTime();
    this.others.applyTime();
    this.configuration.applyTime();
  }

  private formatMetrics(): string {
    const speeds = this.duty?.getDispatcher().getEndpointSpeeds().countByClass();
    const text = this.metrics.formatText({
      leading: this.duty === undefined ? 0 : 1,
      liveJobs: this.duty?.getDispatcher().countJobs() ?? 0,
      slowEndpoints: speeds?.slow ?? 0,
      fastEndpoints: speeds?.fast ?? 0,
      configurationVersion: this.router.getConfiguration()?.version ?? 0,
      logWriteFailingMs: Math.round(this.writer.getOutageMs()),
      readingOperatorTopic: Number(this.followers.operator.isFollowing()),
      readingStatesTopic: Number(this.followers.states.isFollowing()),
      readingJobsTopic: Number(this.followers.jobs.isFollowing()),
      knownJobs: this.replica.countJobs(),
      ...this.readLoadGauges(),
    });
    return text + this.formatCustomers();
  }

  /** Of the newest digest, however old; none before the first. */
  private readLoadGauges(): Readonly<Record<string, number>> {
    const { clock } = this.options;
    const epoch = this.leadership.getRecord()?.epoch;
    const ageMs = this.load.getAgeMs({ now: clock.getNow(), wallMs: clock.getWallTime(), epoch });
    return ageMs === undefined ? {} : { loadDigestAgeMs: Math.round(ageMs) };
  }

  /** Nobody but the leader knows what runs. */
  private formatCustomers(): string {
    const dispatcher = this.duty?.getDispatcher();
    const wallMs = this.options.clock.getWallTime();
    return dispatcher === undefined
      ? ''
      : formatCustomerMetrics(readCustomerFigures(this.router.getCustomers(), dispatcher, wallMs));
  }
}
