import type { AnnouncementResponse } from '../boxes/AnnouncementResponse';
import { BoxServer } from '../boxes/BoxServer';
import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import { waitForDelay } from '../common/waitForDelay';
import type { AdviceClient } from '../dispatch/advice/AdviceClient';
import { LeaderController } from '../dispatch/LeaderController';
import { QueueRouter } from '../gateway/QueueRouter';
import type { JobCaller } from '../customers/JobCaller';
import { CallerAuthorizer } from '../gateway/CallerAuthorizer';
import { computeListenerLimits } from '../gateway/computeListenerLimits';
import type { RefusalCause } from '../gateway/RefusalCause';
import type { JobId } from '../jobs/JobId';
import { JobReplica } from '../jobs/JobReplica';
import type { JobState } from '../jobs/JobState';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';
import { LeaderWatch } from '../leadership/LeaderWatch';
import { Leadership } from '../leadership/Leadership';
import type { VouchResponse } from '../leadership/VouchResponse';
import type { WitnessReport } from '../leadership/WitnessReport';
import { EventLoopMonitor } from '../logging/EventLoopMonitor';
import { admissionModes } from '../load/admissionModes';
import { loadKeys } from '../load/loadKeys';
import { LoadView } from '../load/LoadView';
import type { LogClient } from '../store/LogClient';
import type { LogRecord } from '../store/LogRecord';
import type { LogWrite } from '../store/LogWrite';
import { logRejectedRecord } from '../store/logRejectedRecord';
import { LogWriter } from '../store/LogWriter';
import type { WriteOutcome } from '../store/WriteOutcome';
import { AdviceChannels } from './AdviceChannels';
import { ConfigurationUpdater } from './ConfigurationUpdater';
import { BoxJobService } from './BoxJobService';
import { jobWritePolicies } from './jobWritePolicies';
import { JobRecords } from './JobRecords';
import { LeaderHandover } from './LeaderHandover';
import { LoadAdmission } from './LoadAdmission';
import { OtherBoxes } from './OtherBoxes';
import { formatBoxMetrics } from './formatBoxMetrics';
import type { ServeAdapter } from './ServeAdapter';
import { ServeMetrics } from './ServeMetrics';
import type { ServeSettings } from './ServeSettings';
import { StopBudget } from './StopBudget';
import { TopicFollowers } from './TopicFollowers';
import { topics } from './topics';

type Election = Parameters<ConstructorParameters<typeof Leadership>[0]['handleElected']>[0];

interface ServeProcessOptions {
  readonly settings: ServeSettings;
  readonly adapter: ServeAdapter;
  readonly clock: MachineClock;
  readonly random: Random;
  /** Id of this process, unique for each start of the box. */
  readonly process: string;
  /** Creates a logger whose lines name a part of the process. */
  readonly createPartLogger: (part: string) => Logger;
}

const TICK_INTERVAL_MS = 50;
/** Timeout of the read of the jobs topic at a takeover. */
const TAKEOVER_READ_TIMEOUT_MS = 1000;
/** Timeout of the read that checks whether the log is available. Shorter than the timeout of the request between boxes. */
const LOG_CHECK_TIMEOUT_MS = 150;
/** Time for which a write waits for others to be appended with it. */
const WRITE_LINGER_MS = 2;
/** Share of the timeout of a forwarded write that the append may take. The rest is for the response. */
const FORWARDED_APPEND_TIME_SHARE = 0.9;
/** Time in which the load balancer notices from its readiness probes that this box is stopping. */
const DRAIN_NOTICE_MS = 2600;
/** Largest share of the time for callers that the notice may take, when the grace period is short. */
const MAX_DRAIN_NOTICE_SHARE = 0.6;
/** Duration of failing writes from which a leader is not ready, and beyond which forwarded writes are refused. */
const UNREADY_WRITE_OUTAGE_MS = 600;

/** Process of an entry box: creates its components, connects them, and starts and stops them in order. */
export class ServeProcess {
  private readonly logClient: LogClient;
  private readonly logger: Logger;
  private readonly replica: JobReplica;
  private readonly router = new QueueRouter();
  private readonly metrics = new ServeMetrics();
  private readonly loadView = new LoadView();
  private readonly writer: LogWriter;
  private readonly followers: TopicFollowers;
  private readonly leadership: Leadership;
  private readonly adviceClient: AdviceClient;
  private readonly otherBoxes: OtherBoxes;
  private readonly leaderWatch: LeaderWatch;
  private readonly configurationUpdater: ConfigurationUpdater;
  private readonly leaderHandover: LeaderHandover;
  private readonly boxServer: BoxServer;
  private readonly callerServer: ReturnType<ServeAdapter['createCallerServer']>;
  private readonly jobService: BoxJobService;
  private readonly jobRecords: JobRecords;
  private controller: LeaderController | undefined;
  private readonly adviceChannels: AdviceChannels;
  private readonly eventLoopMonitor: EventLoopMonitor;
  private tickTimer: NodeJS.Timeout | undefined;
  private isStopping = false;
  private stopped: Promise<void> | undefined;
  /** Monotonic time from which this process has its addresses, so that no other process of its box has them. */
  private startedAt = Infinity;

  constructor(private readonly options: ServeProcessOptions) {
    const { adapter, clock, settings, random } = options;
    this.logger = options.createPartLogger('serve');
    this.eventLoopMonitor = new EventLoopMonitor({
      logger: this.logger,
      tickIntervalMs: TICK_INTERVAL_MS,
      isLeading: () => this.controller !== undefined,
    });
    this.replica = new JobReplica({
      // A box that leads next has to know all jobs at once.
      canDeferParsing: () => this.controller === undefined && this.isOutranked(),
      handleInvalid: (job) => this.logger.warn('Malformed job record ignored.', { job }),
    });
    this.jobRecords = new JobRecords({
      replica: this.replica,
      logger: this.logger,
      getLeader: () => this.controller,
    });
    this.logClient = adapter.createLogClient();
    this.adviceClient = adapter.createAdviceClient();
    this.otherBoxes = new OtherBoxes({
      settings,
      process: options.process,
      clock,
      logger: options.createPartLogger('leader'),
      getLeader: () => this.leadership.getLeaderRecord(),
      isLeading: () => this.controller !== undefined && !this.isStopping,
      isStopping: () => this.isStopping,
      isResponseAwaited: (box) => this.leadership.isResponseAwaited(box),
      handleBoxProcess: (report, announcedEpoch) => this.handleBoxProcess(report, announcedEpoch),
    });
    this.adviceChannels = new AdviceChannels({
      box: settings.box,
      adviceClient: this.adviceClient,
      boxes: this.otherBoxes.clients,
    });
    this.writer = new LogWriter({
      client: this.logClient,
      topic: topics.jobs,
      clock,
      lingerMs: WRITE_LINGER_MS,
      maxBatchBytes: settings.maxAppendBytes,
      random,
      handleRejected: (write, detail) => logRejectedRecord(this.logger, topics.jobs, write, detail),
      probe: this.otherBoxes.createBoxAnnouncement(),
    });
    this.followers = this.createFollowers();
    this.leadership = new Leadership({
      client: this.logClient,
      topic: topics.states,
      follower: this.followers.states,
      box: settings.box,
      address: settings.internal,
      process: options.process,
      clock,
      random,
      logger: options.createPartLogger('leadership'),
      longestLeaseMs: settings.longestLeaseMs,
      isOutranked: () => this.isOutranked(),
      isReadyToLead: () => this.followers.jobs.getOffset() !== undefined,
      handleElected: (election) => this.startLeading(election),
    });
    this.configurationUpdater = this.createConfigurationUpdater();
    this.leaderHandover = this.createHandover();
    this.leaderWatch = new LeaderWatch({
      handleProcessEnded: (process) => this.leadership.handleLeaderEnded(process),
    });
    this.jobService = this.createJobService();
    const recordRefusal = (cause: RefusalCause): void => this.metrics.recordCount(`limitRefusals.${cause}`);
    this.callerServer = adapter.createCallerServer({
      router: this.router,
      jobs: this.jobService,
      isReady: () => this.isReady(),
      isStopping: () => this.isStopping,
      authorizer: this.createAuthorizer(),
      logger: this.logger,
      callerLimits: settings.callerLimits,
      readinessLimits: computeListenerLimits(settings, 'readiness'),
      recordRefusal,
    });
    this.boxServer = new BoxServer({
      address: settings.internal,
      clock,
      logger: options.createPartLogger('relay'),
      limits: computeListenerLimits(settings, 'boxes'),
      recordRefusal,
      adviceClient: this.adviceClient,
      formatMetrics: () => this.formatMetrics(),
      isLogUsable: () => this.isLogUsable(),
      getJobState: (id, caller, timeoutMs) => this.getJobState(id, caller, timeoutMs),
      writeForBox: (write, timeoutMs) => this.writeForBox(write, timeoutMs),
      getConfiguration: (knownVersion) => this.configurationUpdater.createResponse(knownVersion),
      handleLeaderAnnouncement: (announcement) => this.handleLeaderAnnouncement(announcement),
      handleVouchRequest: (epoch) => this.handleVouchRequest(epoch),
      handleHandover: (epoch) => this.leadership.handleHandover(epoch),
    });
  }

  async start(): Promise<void> {
    await this.boxServer.start();
    this.startedAt = this.options.clock.getNow();
    await this.callerServer.start();
    this.followers.startNextFollower();
    void this.otherBoxes.writeBoxAnnouncement(this.writer);
    this.tickTimer = setInterval(() => this.handleTick(), TICK_INTERVAL_MS);
    const { box, hall, front, log } = this.options.settings;
    this.logger.info('Started.', { process: this.options.process, box, hall, front, log });
  }

  /**
   * Stops gracefully within the grace period: hands leadership over, waits until callers are sent elsewhere, then stops all components.
   * All calls resolve when the one stop has ended.
   */
  stop(): Promise<void> {
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private async runStop(): Promise<void> {
    const { clock, settings } = this.options;
    const budget = new StopBudget({ clock, logger: this.logger, graceMs: settings.graceMs });
    this.isStopping = true;
    this.logger.info('Stopping.', { isLeading: this.controller !== undefined });
    this.boxServer.sendLeave();
    this.leadership.stop();
    await Promise.all([
      budget.runPhase('handover', (timeoutMs) => this.leaderHandover.runPlannedHandover(timeoutMs)),
      budget.runPhase('callers', (timeoutMs) => this.stopCallerServer(timeoutMs)),
    ]);
    clearInterval(this.tickTimer);
    this.leaderWatch.setLeader(undefined);
    await budget.runPhase('boxes', (timeoutMs) => this.stopBoxServer(timeoutMs));
    this.followers.stop();
    await budget.runPhase('log', () => this.logClient.stop());
    this.logger.info('Stopped.', { tookMs: Math.round(budget.getElapsedMs()) });
  }

  /** Stops the server for callers once the load balancer sends no more of them, with time left for the responses in progress. */
  private async stopCallerServer(timeoutMs: number): Promise<void> {
    const { clock } = this.options;
    const deadline = clock.getNow() + timeoutMs;
    await waitForDelay(Math.min(DRAIN_NOTICE_MS, timeoutMs * MAX_DRAIN_NOTICE_SHARE));
    await this.callerServer.stop(Math.max(0, deadline - clock.getNow()));
  }

  private async stopBoxServer(timeoutMs: number): Promise<void> {
    const cutCount = await this.boxServer.stop(timeoutMs);
    if (cutCount > 0) {
      this.logger.warn('Connections of other boxes cut at the stop.', { connections: cutCount });
    }
  }

  /** Handles that the settings were reloaded. Nothing changes, since they are fixed while the process runs. */
  handleReload(): void {
    this.logger.info('Settings reloaded.', { box: this.options.settings.box });
  }

  /**
   * Returns whether this box accepts callers: it is not stopping, can read the topics it follows, has a configuration and, as leader, its
   * appends have not failed for too long. For the readiness probe.
   */
  isReady(): boolean {
    return !this.isStopping && this.isLogAvailable() && this.router.getConfiguration() !== undefined;
  }

  /** Returns whether all topics that this box follows can be read and, as leader, its writes have not failed for too long. */
  private isLogAvailable(): boolean {
    return this.isLogReadable() && (this.controller?.getLogOutageMs() ?? 0) < UNREADY_WRITE_OUTAGE_MS;
  }

  /** Returns whether a clearly stronger box has announced itself, which should lead rather than this one. */
  private isOutranked(): boolean {
    return this.otherBoxes.directory.listStronger(this.options.settings).length > 0;
  }

  private isLogReadable(): boolean {
    return this.followers.isLogReadable(this.controller !== undefined);
  }

  /** Returns the state of a job for another box; undefined while this one does not lead, or without a result in time. */
  private async getJobState(
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ): Promise<JobState | 'absent' | undefined> {
    if (this.controller?.isActive() !== true) {
      return undefined;
    }
    const outcome = await this.jobService.getJobState(id, caller, this.options.clock.getNow() + timeoutMs);
    return outcome.kind === 'answered' ? outcome.answer : undefined;
  }

  /**
   * Appends a record on behalf of another box, and applies it once written; refused while this box is stopping or its writes keep failing.
   */
  private async writeForBox(write: LogWrite, timeoutMs: number): Promise<WriteOutcome> {
    if (this.isStopping || this.writer.getOutageMs() > UNREADY_WRITE_OUTAGE_MS) {
      return 'refused';
    }
    const deadline = this.options.clock.getNow() + timeoutMs * FORWARDED_APPEND_TIME_SHARE;
    const outcome = await this.writer.writeRecord(write, deadline);
    if (outcome === 'written') {
      this.jobRecords.applyRecords([write]);
    }
    return outcome;
  }

  private createJobService(): BoxJobService {
    return new BoxJobService({
      replica: this.replica,
      writer: jobWritePolicies[this.options.settings.jobWriting]({
        directWriter: this.writer,
        clock: this.options.clock,
        logger: this.options.createPartLogger('jobs'),
        getLeader: () => this.otherBoxes.getLeaderContact(),
        isReadingActivity: () => this.followers.states.isUpToDate(),
        hasActivitySince: (after, withinMs) => this.leadership.hasLeaderActivitySince(after, withinMs),
      }),
      jobsFollower: this.followers.jobs,
      statesFollower: this.followers.states,
      clock: this.options.clock,
      logger: this.options.createPartLogger('jobs'),
      metrics: this.metrics,
      admission: this.createAdmission(),
      isLogReadable: () => this.isLogReadable(),
      isLeading: () => this.controller?.isActive() ?? false,
      getConfigurationVersion: () => this.router.getConfiguration()?.version,
      requestLeaderState: (id, caller, timeoutMs) => this.otherBoxes.requestJobState(id, caller, timeoutMs),
      handleJobAccepted: (definition) => this.jobRecords.applyAcceptedJob(definition),
      handleJobCancelled: (id) => this.jobRecords.applyCancelledJob(id),
      handleUnknownJobCancelled: (id, caller) => this.jobRecords.applyEarlyCancel(id, caller),
    });
  }

  private createAdmission(): LoadAdmission {
    const { clock, settings } = this.options;
    return new LoadAdmission({
      mode: settings.door,
      loadView: this.loadView,
      clock,
      logger: this.options.createPartLogger('jobs'),
      metrics: this.metrics,
      getEpoch: () => this.leadership.getLeaderRecord()?.epoch,
      waitForJobsRefresh: (deadline) => this.followers.jobs.waitForRefresh(deadline - clock.getNow()),
      isJobKnown: (id) => this.replica.getDefinition(id) !== undefined,
    });
  }

  /** Records the address and leadership of an announced leader, and stops leading if the announcement supersedes it. */
  private handleLeaderAnnouncement(announcement: LeaderAnnouncement): AnnouncementResponse {
    this.applyLeaderAnnouncement(announcement);
    const { settings, process, clock } = this.options;
    const upMs = Math.max(0, clock.getNow() - this.startedAt);
    const vouchedMs = this.leadership.getVoucher().getVouchAgeMs();
    return { box: settings.box, process, upMs, ...(vouchedMs === undefined ? {} : { vouchedMs }) };
  }

  /** Vouches for the leader of an epoch if this process knows no newer one. Not while it stops, so that the leader names another witness. */
  private handleVouchRequest(epoch: number): VouchResponse {
    const { settings, process } = this.options;
    const isVouched = !this.isStopping && this.leadership.getVoucher().handleVouchRequest(epoch);
    return { box: settings.box, process, isVouched };
  }

  private applyLeaderAnnouncement(announcement: LeaderAnnouncement): void {
    const { record } = announcement;
    this.otherBoxes.applyLeaderAnnouncement(announcement);
    const ledEpoch = this.leadership.getLeaderRecord()?.epoch ?? 0;
    if (!this.leadership.handleAnnouncement(record) || this.controller === undefined) {
      return;
    }
    this.controller.stop();
    this.handleLeadershipLost(ledEpoch, `${record.process} leads epoch ${record.epoch}`);
  }

  /** Lowers the bound of the leases of earlier leaders, as one of them ran in an earlier process of that box, or named the process as a witness. */
  private handleBoxProcess(report: WitnessReport, announcedEpoch: number): void {
    const { leadership, controller } = this;
    const previousEndAt = leadership.getEarlierLeasesEndAt();
    leadership.handleBoxProcess(report, announcedEpoch);
    const endAt = leadership.getEarlierLeasesEndAt();
    if (endAt >= previousEndAt) {
      return;
    }
    controller?.setEarlierLeasesEnd(endAt);
    const now = this.options.clock.getNow();
    this.logger.info('Leases of earlier leaders end sooner.', {
      other: report.box,
      process: report.process,
      epoch: announcedEpoch,
      soonerMs: Math.round(previousEndAt - endAt),
      earlierLeasesMs: Math.max(0, Math.round(endAt - now)),
      upMs: Math.round(now - report.startedBy),
      vouchedMs: report.vouchedBy === -Infinity ? undefined : Math.round(now - report.vouchedBy),
    });
  }

  private createHandover(): LeaderHandover {
    const { clock, settings } = this.options;
    return new LeaderHandover({
      settings,
      clock,
      boxes: this.otherBoxes.clients,
      directory: this.otherBoxes.directory,
      getController: () => this.controller,
      getEpoch: () => this.leadership.getLeaderRecord()?.epoch ?? 0,
      getStartedAt: () => this.startedAt,
      setSuccessor: (address) => this.leadership.setSuccessor(address),
      retryPending: () => this.handleLogRecovered(clock.getNow()),
      waitForLogRead: (timeoutMs) => this.followers.jobs.waitForRefresh(timeoutMs),
      handleGracefulStop: () => {
        this.controller = undefined;
      },
      handleLeadershipLost: (epoch, detail) => this.handleLeadershipLost(epoch, detail),
    });
  }

  private createFollowers(): TopicFollowers {
    const { adapter, clock, random } = this.options;
    return new TopicFollowers({
      logClient: this.logClient,
      operatorTopic: adapter.operatorTopic,
      clock,
      random,
      logger: this.logger,
      handleJobRecords: (records) => this.handleJobRecords(records),
      handleStateRecords: (records) => {
        this.replica.foldStateRecords(records);
        this.leadership.foldRecords(records);
        this.foldLoadRecords(records);
      },
      handleOperatorRecords: (records) => this.configurationUpdater.handleRecords(records),
      handleStatesConnection: (isConnected) => this.leadership.handleLogConnection(isConnected),
      handleLogRecovered: (sentAt) => this.handleLogRecovered(sentAt),
    });
  }

  private foldLoadRecords(records: readonly LogWrite[]): void {
    const epoch = this.leadership.getLeaderRecord()?.epoch ?? 0;
    const invalidCount = this.loadView.foldRecords(records, this.options.clock.getNow(), epoch);
    if (invalidCount > 0) {
      this.metrics.recordCount('digestsRefused', invalidCount);
      this.logger.warn('Invalid load digests ignored.', { records: invalidCount, epoch });
    }
  }

  /** Retries pending log requests, since the log has responded to a request sent at a monotonic time. */
  private handleLogRecovered(sentAt: number): void {
    this.followers.retryPending(sentAt);
    this.writer.retryPendingAppend();
    this.controller?.retryPendingLogCalls(sentAt);
  }

  private handleJobRecords(records: readonly LogRecord[]): void {
    this.otherBoxes.directory.foldRecords(records, this.options.clock.getNow());
    this.jobRecords.applyRecords(records);
  }

  private createConfigurationUpdater(): ConfigurationUpdater {
    const { adapter, clock, random, settings, createPartLogger } = this.options;
    return new ConfigurationUpdater({
      adapter,
      router: this.router,
      source: settings.configurationSource,
      clock,
      random,
      logger: createPartLogger('configuration'),
      maxAgeMs: settings.maxConfigurationAgeMs,
      isTopicUpToDate: () => this.followers.operator.isUpToDate(),
      getLastReadAt: () => this.followers.operator.getLastSuccessAt(),
      listOthers: () => this.otherBoxes.clients.listOthersNotLost(),
      handleConfiguration: (configuration) => this.controller?.handleConfiguration(configuration),
    });
  }

  private createAuthorizer(): CallerAuthorizer {
    return new CallerAuthorizer({
      router: this.router,
      isFresh: () => this.configurationUpdater.isFresh(),
      handleRejected: (queue, reason) => {
        this.metrics.recordCount('keysRefused');
        this.logger.info('Request rejected for its key.', {
          queue,
          reason,
          configuration: this.router.getConfiguration()?.version,
          configurationAgeMs: Math.round(this.configurationUpdater.getAgeMs()),
        });
      },
    });
  }

  private startLeading(election: Election): void {
    const { epoch } = election;
    const { adapter, clock, random, settings } = this.options;
    if (this.isStopping) {
      return;
    }
    this.metrics.recordCount('elections');
    this.leaderHandover.recordElected();
    this.followers.startLeading();
    this.controller = new LeaderController({
      ...election,
      client: this.logClient,
      statesTopic: topics.states,
      progressTopic: topics.progress,
      endpointsTopic: adapter.endpointsTopic,
      maxAppendBytes: settings.maxAppendBytes,
      replica: this.replica,
      updateReplica: () => this.followers.jobs.waitForRefresh(TAKEOVER_READ_TIMEOUT_MS),
      clock,
      random,
      logger: this.options.createPartLogger('leader'),
      policies: settings,
      // A leader does not follow the states topic, so it applies its own digests directly.
      ...(admissionModes[settings.door].isLoadPublished
        ? { handleLoadDigest: (value) => this.foldLoadRecords([{ key: loadKeys.digestKey, value }]) }
        : {}),
      configuration: this.router.getConfiguration(),
      getCustomerLimit: (customer) => this.router.getCustomers().findByName(customer)?.limit,
      parseEndpoint: (id, text) => adapter.parseEndpoint(id, text),
      createEndpointClient: (profile, getToken, createJsonClient) =>
        adapter.createEndpointClient(profile, getToken, createJsonClient),
      ownBox: settings,
      listRelayBoxes: () => this.otherBoxes.clients.listOthersNotLost(),
      isServiceRouted: (service) => this.router.hasService(service),
      longestLeaseMs: settings.longestLeaseMs,
      listChannels: () => this.adviceChannels.listChannels(),
      listOtherBoxes: () => this.otherBoxes.clients.listOthers(),
      isBoxLost: (box) => this.otherBoxes.clients.getPresence().isLost(box),
      formatLeaderRecord: (isResigned, witnesses, extendedLeases) =>
        this.leadership.formatLeaderRecord(epoch, isResigned, witnesses, extendedLeases),
      handleLeadershipLost: (detail) => this.handleLeadershipLost(epoch, detail),
      handleLogRecovered: (sentAt) => this.handleLogRecovered(sentAt),
      recordCount: (name, amount) => this.metrics.recordCount(name, amount),
      recordTime: (name, valueMs) => this.metrics.recordDuration(name, valueMs),
    });
    this.controller.start();
  }

  private handleLeadershipLost(epoch: number, detail: string): void {
    this.logger.info('Stopped leading.', { epoch, detail });
    this.controller = undefined;
    this.leadership.handleLeadershipLost();
    this.followers.stopLeading();
  }

  /**
   * Returns whether this box can use the log, for another box. A leader decides by its recent writes, since reads from a slow log may
   * take longer than the timeout of the request. Other boxes read now, since an earlier read would not show an outage that has just begun.
   */
  private async isLogUsable(): Promise<boolean> {
    const { clock } = this.options;
    if (this.controller?.isHeartbeatFresh() === true && !this.isStopping && this.writer.getOutageMs() === 0) {
      return true;
    }
    const requestedAt = clock.getNow();
    const isReadable = await this.followers.waitForLogRead(
      this.controller !== undefined,
      LOG_CHECK_TIMEOUT_MS,
    );
    const failingMs = this.writer.getOutageMs();
    const isUsable = isReadable && failingMs === 0 && !this.isStopping;
    if (!isUsable) {
      this.logger.info('Reported to another box that the log is unavailable.', {
        isReading: isReadable,
        readMs: Math.round(clock.getNow() - requestedAt),
        writesFailingMs: Math.round(failingMs),
        isStopping: this.isStopping,
      });
    }
    return isUsable;
  }

  private handleTick(): void {
    this.eventLoopMonitor.handleTick(this.options.clock.getNow());
    this.leadership.handleTick();
    const record = this.leadership.getLeaderRecord();
    const leaderBox = this.otherBoxes.directory.listBoxes().find(({ box }) => box === record?.box);
    const isOther = record !== undefined && record.process !== this.options.process;
    this.leaderWatch.setLeader(
      isOther && leaderBox !== undefined
        ? { process: record.process, address: leaderBox.address }
        : undefined,
    );
    this.leaderHandover.handleTick();
    this.otherBoxes.handleTick();
    this.configurationUpdater.handleTick();
  }

  private formatMetrics(): string {
    const { metrics, router, writer, followers, replica, loadView } = this;
    return formatBoxMetrics({
      metrics,
      dispatcher: this.controller?.getDispatcher(),
      router,
      writer,
      followers,
      replica,
      loadView,
      lostBoxes: this.otherBoxes.clients.getPresence().countLost(),
      epoch: this.leadership.getLeaderRecord()?.epoch,
      clock: this.options.clock,
    });
  }
}
