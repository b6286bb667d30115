import { waitForDelay } from '../common/waitForDelay';
import type { UnitId } from '../common/UnitId';
import type { HallRecord } from '../ownership/HallRecord';
import type { Ownership } from '../ownership/Ownership';
import { parseHallRecord } from '../ownership/parseHallRecord';
import { formatPlatformError } from '../platform/formatPlatformError';
import type { LogPage } from '../platform/LogPage';
import type { PlatformClient } from '../platform/PlatformClient';
import { StreamReader } from '../platform/StreamReader';
import { streams } from '../platform/streams';
import type { EntryContext } from './EntryContext';
import type { JobController } from './JobController';
import type { WorkerDirectory } from './WorkerDirectory';
import type { WorkerFences } from './WorkerFences';
import { workerUnit } from './workerUnit';

interface HallControllerOptions {
  readonly context: EntryContext;
  readonly client: PlatformClient;
  readonly ownership: Ownership;
  readonly directory: WorkerDirectory;
  readonly jobs: JobController;
  readonly fences: WorkerFences;
}

/** How often rights and time limits are looked at without any message, in milliseconds. */
const TICK_MS = 200;
/** Between two appends of the same undecided proposal, in milliseconds. */
const PROPOSAL_GAP_MS = 1000;

/** Owns this process's membership of its hall: follows the hall's stream, proposes views, asks for boxes and reports. */
export class HallController {
  private readonly reader: StreamReader;
  private readonly stream;
  private readonly logger;
  private readonly stopping = new AbortController();
  private proposedAt = -Infinity;
  private standingAt: number;
  private isLogAnswering = false;
  private lastView = 0;

  constructor(private readonly options: HallControllerOptions) {
    const { settings, hall, random, clock, createPartLogger } = options.context;
    this.stream = streams.toHallStream(settings.cell, hall);
    this.logger = createPartLogger('hall');
    this.standingAt = clock.getNow();
    this.reader = new StreamReader({
      client: options.client,
      stream: this.stream,
      waitMs: settings.timings.longPollMs,
      random,
      readNextOffset: () => options.ownership.readNextOffset(),
      handlePage: (page) => this.handlePage(page),
      handleError: (error) => this.handleReadError(formatPlatformError(error)),
    });
  }

  start(): void {
    const { boxListMs, reportMs } = this.options.context.settings.timings;
    void this.reader.start();
    void this.startLoop(TICK_MS, () => this.applyTime());
    void this.startLoop(boxListMs, () => this.readBoxes());
    void this.startLoop(reportMs, () => this.readReports());
  }

  stop(): void {
    this.stopping.abort();
    this.reader.stop();
  }

  /** True while the last read of the log was answered. */
  hasLog(): boolean {
    return this.isLogAnswering;
  }

  /** Applies what may have changed about rights at once. */
  applyRights(): void {
    const { ownership, context, jobs, fences } = this.options;
    const view = ownership.readView();
    if (view !== undefined && view.number !== this.lastView) {
      this.lastView = view.number;
      context.timeline.recordEvent({
        part: 'hall',
        kind: 'view',
        detail: { number: view.number, members: view.members.join(' ') },
      });
      this.logger.info('View changed.', { number: view.number, members: view.members });
    }
    fences.applyRights();
    jobs.applyWorkers();
  }

  /** Proposes the view without this process, and waits for an answer of the log at most its time-out. */
  async sendLeave(): Promise<void> {
    this.proposedAt = -Infinity;
    await this.sendProposal();
  }

  private async startLoop(intervalMs: number, step: () => Promise<void>): Promise<void> {
    const { random } = this.options.context;
    while (!this.stopping.signal.aborted) {
      await step();
      // Some jitter, so that processes that started together do not ask together.
      await waitForDelay(intervalMs * (0.9 + 0.2 * random()), this.stopping.signal);
    }
  }

  private async applyTime(): Promise<void> {
    const now = this.options.context.clock.getNow();
    this.options.ownership.applyTime(now);
    this.applyRights();
    this.options.jobs.applyTime();
    await this.sendProposal();
    await this.sendStanding();
  }

  private async sendProposal(): Promise<void> {
    const { ownership, context, client } = this.options;
    const now = context.clock.getNow();
    if (now < this.proposedAt + PROPOSAL_GAP_MS) {
      return;
    }
    const view = ownership.createProposal(now);
    if (view === undefined) {
      return;
    }
    this.proposedAt = now;
    const record: HallRecord = { kind: 'view', view, proposer: context.process };
    const appended = await client.appendRecord(this.stream, record);
    if (!appended.ok) {
      this.logger.warn(formatPlatformError(appended.error));
    }
  }

  /** Says again which view stands, long before the log forgets it. Members wait unlike times. */
  private async sendStanding(): Promise<void> {
    const { ownership, context, client } = this.options;
    const { clock, random, settings, process } = context;
    const view = ownership.readView();
    const isDue = clock.getNow() > this.standingAt + settings.timings.standingRenewMs * (1 + random());
    if (!isDue || !this.isLogAnswering || view === undefined || !view.members.includes(process)) {
      return;
    }
    this.standingAt = clock.getNow();
    const record: HallRecord = { kind: 'standing', view, asOf: ownership.readNextOffset() - 1 };
    await client.appendRecord(this.stream, record);
  }

  private handlePage(page: LogPage): void {
    const { ownership, context } = this.options;
    this.isLogAnswering = true;
    const records = page.records.map(({ offset, value }) => ({ offset, record: parseHallRecord(value) }));
    if (records.some(({ record }) => record?.kind === 'standing')) {
      this.standingAt = context.clock.getNow();
    }
    const { askedAt, first, tail } = page;
    ownership.applyLogRead({ askedAt, first, tail, records }, context.clock.getNow());
    // This process listens on its box's address, so every earlier start of the box has ended.
    ownership.recordAlive(context.box, context.process, context.clock.getNow());
    this.applyRights();
  }

  private handleReadError(sentence: string): void {
    if (this.isLogAnswering) {
      this.logger.warn(sentence);
      this.options.context.timeline.recordEvent({ part: 'hall', kind: 'log silent', detail: { sentence } });
    }
    this.isLogAnswering = false;
  }

  private async readBoxes(): Promise<void> {
    const { client, context, directory } = this.options;
    const boxes = await client.readBoxes(context.hall);
    if (boxes.ok && boxes.value !== undefined) {
      directory.applyBoxes(boxes.value);
      this.applyRights();
    }
  }

  /** Reports are asked for only while something hangs on them. */
  private async readReports(): Promise<void> {
    const { client, context, ownership, jobs } = this.options;
    const units = new Set<UnitId>([...ownership.readUnsettled(), ...ownership.readShared()]);
    if (units.size === 0 && !jobs.hasDraining()) {
      return;
    }
    const askedAt = context.clock.getNow();
    const reports = await client.readReports(context.hall);
    if (!reports.ok) {
      return;
    }
    const now = context.clock.getNow();
    for (const [worker, report] of reports.value) {
      const unit = workerUnit.toUnit(worker);
      if (units.has(unit)) {
        ownership.applyReport(unit, report, askedAt, now);
      }
      jobs.applyReport(worker, new Set(report.tasks.map((task) => task.task)), askedAt - report.ageMs);
    }
    this.applyRights();
  }
}
