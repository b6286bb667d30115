import type { BoxId } from '../common/BoxId';
import { ByteCounter } from '../common/ByteCounter';
import type { HallId } from '../common/HallId';
import { HybridClock } from '../common/HybridClock';
import type { ProcessId } from '../common/ProcessId';
import type { RequestId } from '../common/RequestId';
import type { UnitId } from '../common/UnitId';
import type { Clock } from '../common/Clock';
import { createLogger } from '../common/createLogger';
import { createRandom } from '../common/createRandom';
import type { Logger } from '../common/Logger';
import { waitForDelay } from '../common/waitForDelay';
import { parseHostPort } from '../common/parseHostPort';
import { toId } from '../common/toId';
import { CallerServer } from '../gateway/CallerServer';
import type { Holding } from '../ownership/Holding';
import { Ownership } from '../ownership/Ownership';
import { PeerServer } from '../peers/PeerServer';
import { PlatformClient } from '../platform/PlatformClient';
import { Scheduler } from '../scheduler/Scheduler';
import type { Settings } from '../settings/Settings';
import { TABLE_LIMITS } from '../table/constants';
import { Timeline } from '../timeline/Timeline';
import { CallController } from './CallController';
import { ClaimController } from './ClaimController';
import type { EditAnswer } from './EditAnswer';
import type { EditRequest } from './EditRequest';
import type { EntryContext } from './EntryContext';
import type { EntryStatus } from './EntryStatus';
import { HallController } from './HallController';
import { JobController } from './JobController';
import { Metrics } from './Metrics';
import { OperatorServer } from './OperatorServer';
import { PeerController } from './PeerController';
import { StandingController } from './StandingController';
import { TableController } from './TableController';
import { TraceRecorder } from './TraceRecorder';
import { WorkerDirectory } from './WorkerDirectory';
import { WorkerFences } from './WorkerFences';
import { workerUnit } from './workerUnit';

interface EntryProcessOptions {
  readonly settings: Settings;
  readonly box: string;
  readonly clock: Clock;
  /** Seed of jitter and spreading. */
  readonly seed: number;
  /** Unique for each start of the box. */
  readonly incarnation: string;
  /** File or pipe for the trace of the decision core. */
  readonly recordFile?: string;
}

const IN_FORCE_WAIT_MS = 2000;
const DRAIN_POLL_MS = 50;
const SNAPSHOT_CHECK_MS = 1000;
const MOVE_CHECK_MS = 200;

/** One entry process: makes the parts, joins them by their messages, starts and stops them in order. */
export class EntryProcess {
  private readonly context: EntryContext;
  private readonly logger: Logger;
  private readonly counter = new ByteCounter();
  private readonly metrics = new Metrics();
  private readonly client: PlatformClient;
  private readonly scheduler: Scheduler;
  private readonly ownership: Ownership;
  private readonly directory: WorkerDirectory;
  private readonly table: TableController;
  private readonly jobs: JobController;
  private readonly standing: StandingController;
  private readonly hall: HallController;
  private readonly peers: PeerController;
  private readonly claims: ClaimController;
  private readonly calls: CallController;
  private readonly servers: { callers: CallerServer; peers: PeerServer; operators: OperatorServer };
  private readonly recorder: TraceRecorder | undefined;
  private readonly timers: NodeJS.Timeout[] = [];
  private isStopping = false;
  private requestCount = 0;

  constructor(private readonly options: EntryProcessOptions) {
    this.context = this.createContext();
    this.logger = this.context.createPartLogger('entry');
    const { settings } = options;
    const { context, metrics } = this;
    this.client = new PlatformClient({
      address: settings.platform,
      timeoutMs: settings.timings.platformTimeoutMs,
      clock: options.clock,
      caller: options.box,
      counter: this.counter,
    });
    const shareIndex = settings.entries.findIndex((entry) => entry.box === options.box);
    const shareCount = settings.entries.length;
    // The decision core has a generator of its own, so that a recorded trace replays to the same decisions.
    const random = createRandom(options.seed);
    this.scheduler = new Scheduler({ policy: 'stairline', random, shareIndex, shareCount });
    this.recorder =
      options.recordFile === undefined
        ? undefined
        : new TraceRecorder(options.recordFile, { shareIndex, shareCount, seed: options.seed });
    this.ownership = new Ownership({
      self: context.process,
      timings: { ...settings.timings, longestTaskMs: TABLE_LIMITS.longestTaskMs },
      readOwnHoldings: (unit) => this.readHoldings(unit),
    });
    this.directory = new WorkerDirectory(context, this.ownership);
    this.table = new TableController({
      context,
      client: this.client,
      handleChange: () => this.jobs.applyTable(),
    });
    const readTable = () => this.table.readTable();
    this.jobs = new JobController({
      context,
      scheduler: this.scheduler,
      directory: this.directory,
      metrics,
      readTable,
      recordEvent: (event, effects, now) => this.recorder?.recordEvent(event, effects, now),
    });
    this.standing = new StandingController({
      context,
      ownership: this.ownership,
      jobs: this.jobs,
      readTable,
    });
    const fences = new WorkerFences({
      context,
      ownership: this.ownership,
      directory: this.directory,
      handleFenced: () => this.jobs.applyWorkers(),
    });
    this.hall = new HallController({
      context,
      client: this.client,
      ownership: this.ownership,
      directory: this.directory,
      jobs: this.jobs,
      fences,
    });
    this.peers = new PeerController({
      context,
      ownership: this.ownership,
      table: this.table,
      metrics,
      counter: this.counter,
      readStatus: () => this.scheduler.readStatus(),
      isTaking: () => this.isReady(),
      handleRights: () => this.hall.applyRights(),
    });
    this.claims = new ClaimController(context, this.client);
    this.calls = new CallController({
      context,
      jobs: this.jobs,
      claims: this.claims,
      peers: this.peers,
      scheduler: this.scheduler,
      metrics,
      readTable,
    });
    this.servers = this.createServers();
  }

  /** Starts listening first, so that a refused port means that no process of this box is alive; then joins the hall. */
  async start(): Promise<void> {
    await this.servers.peers.start();
    await this.servers.operators.start();
    this.jobs.applyTable();
    this.table.start();
    this.claims.start();
    this.hall.start();
    void this.peers.start();
    this.standing.start();
    this.timers.push(setInterval(() => void this.table.applyTime(), SNAPSHOT_CHECK_MS));
    this.timers.push(setInterval(() => this.calls.applyTime(), MOVE_CHECK_MS));
    await this.servers.callers.start();
    this.context.timeline.recordEvent({
      part: 'entry',
      kind: 'started',
      detail: { process: this.context.process },
    });
    this.logger.info('Started.', { process: this.context.process, hall: this.context.hall });
  }

  /**
   * Stops by plan: not ready first, nothing new, workers handed over, everything under way finished.
   * Resolves with what was cut: 0 when nothing was.
   */
  async stop(): Promise<number> {
    const { timings } = this.options.settings;
    this.isStopping = true;
    this.logger.info('Stopping.');
    this.context.timeline.recordEvent({ part: 'entry', kind: 'stopping', detail: {} });
    this.calls.stopTaking();
    await this.standing.stop();
    this.ownership.stopPlacing();
    this.jobs.applyWorkers();
    this.peers.sendRound();
    await this.hall.sendLeave();
    const cut = await this.startDrain(timings.stopLimitMs);
    await this.stopParts();
    this.logger.info('Stopped.', { cut });
    return cut;
  }

  /** True while callers should be sent here. */
  isReady(): boolean {
    return !this.isStopping && (this.table.readTable().isShared || this.ownership.readView() !== undefined);
  }

  /** Calls and tasks that would be cut by ending now. */
  readUnderWay(): number {
    return this.calls.readUnderWay() + this.jobs.readRunningCount();
  }

  private async startDrain(limitMs: number): Promise<number> {
    const until = this.options.clock.getNow() + limitMs;
    while (this.readUnderWay() > 0 && this.options.clock.getNow() < until) {
      await waitForDelay(DRAIN_POLL_MS);
    }
    // One more round: peers hear that nothing of this process runs any more.
    this.peers.sendRound();
    await waitForDelay(DRAIN_POLL_MS);
    return this.readUnderWay();
  }

  private async stopParts(): Promise<void> {
    for (const timer of this.timers) {
      clearInterval(timer);
    }
    this.hall.stop();
    this.table.stop();
    this.claims.stop();
    this.peers.stop();
    await this.servers.callers.stop();
    this.directory.stop();
    await this.client.stop();
    await this.servers.operators.stop();
    await this.servers.peers.stop();
    await this.recorder?.stop();
  }

  private createContext(): EntryContext {
    const { settings, box, clock, seed, incarnation } = this.options;
    const entry = settings.entries.find((other) => other.box === box);
    const hybridClock = new HybridClock(clock);
    const boxId = toId<BoxId>(box);
    return {
      settings,
      box: boxId,
      hall: toId<HallId>(entry?.hall ?? ''),
      process: toId<ProcessId>(`${box}#${incarnation}`),
      clock,
      hybridClock,
      random: createRandom(seed),
      timeline: new Timeline({ box: boxId, clock: hybridClock, capacity: settings.limits.timelineEvents }),
      createPartLogger: (part) => createLogger({ part, box, form: settings.logForm }),
    };
  }

  private createServers(): { callers: CallerServer; peers: PeerServer; operators: OperatorServer } {
    const { settings, box } = this.options;
    const entry = settings.entries.find((other) => other.box === box);
    const { limits } = settings;
    const handleCall = this.calls.handleCall.bind(this.calls);
    const formatMetrics = () => this.metrics.formatText(this.counter.getTotal());
    return {
      callers: new CallerServer({
        ...parseHostPort(entry?.callers ?? ''),
        box,
        bodyLimit: limits.bodyBytes,
        maxConnections: limits.callerConnections,
        createRequestId: () => this.createRequestId(),
        handleCall,
        isReady: () => this.isReady(),
        formatMetrics,
      }),
      peers: new PeerServer({
        ...parseHostPort(entry?.peers ?? ''),
        bodyLimit: limits.bodyBytes,
        counter: this.counter,
        handleCall,
        handlers: {
          handleHeartbeat: (message) => this.peers.handleHeartbeat(message),
          readTable: (after) => this.table.readForPeer(after),
        },
      }),
      operators: new OperatorServer({
        ...parseHostPort(entry?.operators ?? ''),
        timeline: this.context.timeline,
        readStatus: () => this.readStatus(),
        readTable: () => this.table.readTable(),
        writeEdit: (request) => this.writeEdit(request),
        formatMetrics,
      }),
    };
  }

  private createRequestId(): RequestId {
    this.requestCount += 1;
    return toId<RequestId>(`${this.context.process.replace('#', '-')}-${this.requestCount}`);
  }

  private readHoldings(unit: UnitId): readonly Holding[] {
    const worker = workerUnit.toWorker(unit);
    return worker === undefined ? this.standing.readHoldings(unit) : this.jobs.readWorkerHoldings(worker);
  }

  private async writeEdit(request: EditRequest): Promise<EditAnswer> {
    const decision = await this.table.writeEdit(request);
    if (decision.kind !== 'decided' || decision.edit.decision === 'refused') {
      return decision.kind === 'decided' ? { ...decision, inForce: [], notSeen: [] } : decision;
    }
    const seen = await this.peers.readInForce(decision.edit.offset, IN_FORCE_WAIT_MS);
    return { ...decision, ...seen };
  }

  private readStatus(): EntryStatus {
    const { context, ownership, table, directory, scheduler } = this;
    const view = ownership.readView();
    const { offset, isShared } = table.readTable();
    return {
      box: context.box,
      hall: context.hall,
      process: context.process,
      isReady: this.isReady(),
      view: view === undefined ? undefined : { number: view.number, members: view.members },
      hasEvidence: ownership.hasEvidence(context.clock.getNow()),
      hasLog: this.hall.hasLog() && table.hasLog(),
      table: { offset, isShared },
      workers: {
        known: directory.readCount(),
        placeable: directory.readPlaceableCount(),
        unsettled: ownership.readUnsettled().length,
      },
      rows: scheduler.readStatus(),
      standing: Object.fromEntries(this.standing.readRunning()),
      counts: this.metrics.readCounts(),
    };
  }
}
