import type { RequestId } from '../common/RequestId';
import type { WorkerId } from '../common/WorkerId';
import type { DispatchResult } from '../gateway/DispatchResult';
import type { Holding } from '../ownership/Holding';
import type { Scheduler } from '../scheduler/Scheduler';
import type { SchedulerEffect } from '../scheduler/SchedulerEffect';
import type { SchedulerEvent } from '../scheduler/SchedulerEvent';
import type { Task } from '../scheduler/Task';
import type { TableState } from '../table/TableState';
import type { EntryContext } from './EntryContext';
import type { Job } from './Job';
import type { Metrics } from './Metrics';
import type { WorkerDirectory } from './WorkerDirectory';

interface JobControllerOptions {
  readonly context: EntryContext;
  readonly scheduler: Scheduler;
  readonly directory: WorkerDirectory;
  readonly metrics: Metrics;
  readonly readTable: () => TableState;
  /** Told of every event that reaches the decision core, for `--record`. */
  readonly recordEvent?: (event: SchedulerEvent, effects: readonly SchedulerEffect[], now: number) => void;
}

type NotSent = DispatchResult & { kind: 'notSent' };

interface ActiveJob {
  readonly job: Job;
  /** When its task was sent, by the monotonic clock. */
  sentAt: number;
  timeLimitMs: number;
  /** Set while its end was not seen: when that was found, and the timer that takes the end for granted. */
  draining?: { readonly since: number; readonly timer: NodeJS.Timeout };
}

/** An order that leaves so long after its check, in milliseconds, was held up with its whole process: a turn of the loop takes a few. */
const HELD_UP_MS = 100;

/** What an order that does not run tells of its worker. */
const NOT_SENT_HANDLERS: Readonly<
  Record<NotSent['why'], (options: JobControllerOptions, worker: WorkerId) => void>
> = {
  noRight: () => undefined,
  noConnection: ({ directory }, worker) => directory.recordNoConnection(worker),
  fenced: ({ directory, metrics }, worker) => {
    metrics.recordCount('fencedOrders');
    directory.recordLaterOwner(worker);
  },
};

type EffectOf<Kind extends SchedulerEffect['kind']> = Extract<SchedulerEffect, { kind: Kind }>;

/** Owns the decision core of the process: feeds it events and carries out its decisions. */
export class JobController {
  private readonly jobs = new Map<RequestId, ActiveJob>();

  private readonly logger;

  constructor(private readonly options: JobControllerOptions) {
    this.logger = options.context.createPartLogger('jobs');
  }

  /** Queues a job; its end comes through `handleEnd`. */
  queueJob(job: Job): void {
    this.jobs.set(job.id, { job, sentAt: 0, timeLimitMs: 0 });
    const { id, row, team, arrivedAt, deadlineAt } = job;
    this.handleEvent({ kind: 'request', request: { id, row, team, arrivedAt, deadlineAt } });
  }

  /** Takes a job out that has not been placed. Returns false when it has. */
  revokeJob(id: RequestId): boolean {
    const isPlaced = this.options.scheduler.readTask(id) !== undefined;
    if (isPlaced || !this.jobs.has(id)) {
      return false;
    }
    this.handleEvent({ kind: 'cancel', id });
    this.jobs.delete(id);
    return true;
  }

  /** Asks the worker to end a task: the end comes as an answer. */
  async stopJob(id: RequestId): Promise<void> {
    const task = this.options.scheduler.readTask(id);
    if (task !== undefined) {
      await this.options.directory.readClient(task.worker)?.sendTaskControl(this.toTaskId(id), 'stop', 0);
    }
  }

  /** Renews a replica's lease. Returns the worker's status, 0 without an answer. */
  async renewJob(id: RequestId, leaseMs: number, hasRight: () => boolean): Promise<number> {
    const active = this.jobs.get(id);
    const task = this.options.scheduler.readTask(id);
    const client = task === undefined ? undefined : this.options.directory.readClient(task.worker);
    if (active === undefined || active.draining !== undefined || client === undefined || !hasRight()) {
      return 0;
    }
    // The renewal may take effect even when its answer is lost, so the lease counts anew from here, and from the end of the call once that is
    // known: the bytes may have left late.
    active.sentAt = this.options.context.clock.getNow();
    const status = await client.sendTaskControl(this.toTaskId(id), 'renew', leaseMs);
    active.sentAt = this.options.context.clock.getNow();
    return status;
  }

  /** Applies what has changed about workers. */
  applyWorkers(): void {
    const workers = this.options.directory.createChangedViews();
    if (workers.length > 0) {
      this.handleEvent({ kind: 'workers', workers });
    }
  }

  applyTable(): void {
    const table = this.options.readTable();
    this.handleEvent({ kind: 'table', rows: [...table.rows.values()], teams: [...table.teams.values()] });
  }

  applyTime(): void {
    this.handleEvent({ kind: 'tick' });
  }

  /** Applies a report: a task whose end was not seen and that the worker no longer lists has ended. */
  applyReport(worker: WorkerId, listed: ReadonlySet<string>, takenAfter: number): void {
    const { marginMs } = this.options.context.settings.timings;
    for (const [id, active] of this.jobs) {
      const isLater = active.draining !== undefined && takenAfter > active.draining.since + marginMs;
      const isHere = this.options.scheduler.readTask(id)?.worker === worker;
      if (isLater && isHere && !listed.has(this.toTaskId(id))) {
        this.handleDrained(id);
      }
    }
  }

  /** True while a worker's report could tell the end of a task. */
  hasDraining(): boolean {
    return [...this.jobs.values()].some((active) => active.draining !== undefined);
  }

  /** True while a job has a place on a worker. */
  isPlaced(id: RequestId): boolean {
    return this.options.scheduler.readTask(id) !== undefined;
  }

  /** What this process may still have running of some jobs. */
  readHoldings(ids: Iterable<RequestId>): readonly Holding[] {
    const holdings: Holding[] = [];
    for (const id of ids) {
      const active = this.jobs.get(id);
      const task = this.options.scheduler.readTask(id);
      if (active !== undefined && task !== undefined) {
        holdings.push(this.createHolding(active, task));
      }
    }
    return holdings;
  }

  /** What this process may still have running on a worker. */
  readWorkerHoldings(worker: WorkerId): readonly Holding[] {
    return this.readHoldings(this.options.scheduler.readWorkerTasks(worker));
  }

  /** Ids of the jobs that wait. */
  readWaiting(): readonly Job[] {
    return [...this.jobs.values()]
      .filter((active) => this.options.scheduler.readTask(active.job.id) === undefined)
      .map((active) => active.job);
  }

  /** Jobs that have a place, replicas apart. */
  readRunningCount(): number {
    return [...this.jobs.values()].filter((active) => active.job.leaseMs === undefined).length;
  }

  private createHolding(active: ActiveJob, task: Task): Holding {
    const { clock, settings, process } = this.options.context;
    const ranMs = clock.getNow() - active.sentAt;
    const limitMs = active.timeLimitMs + settings.timings.marginMs;
    const isRenewable = active.job.leaseMs !== undefined;
    return {
      task: this.toTaskId(active.job.id),
      holder: process,
      need: task.need,
      endsWithinMs: isRenewable ? limitMs : Math.max(0, limitMs - ranMs),
      isRenewable,
    };
  }

  private toTaskId(id: RequestId): string {
    return `${this.options.context.process}/${id}`;
  }

  private handleEvent(event: SchedulerEvent): void {
    const now = this.options.context.clock.getNow();
    const effects = this.options.scheduler.handle(event, now);
    this.options.recordEvent?.(event, effects, now);
    for (const effect of effects) {
      this.handleEffect(effect);
    }
  }

  private handleEffect(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'place':
        void this.startTask(effect);
        break;
      case 'refuse':
        this.handleRefusal(effect);
        break;
      case 'yield':
        void this.sendCheckpoint(effect);
        break;
    }
  }

  private handleRefusal(effect: EffectOf<'refuse'>): void {
    const active = this.jobs.get(effect.id);
    const { reason, retryAfterMs } = effect;
    this.recordJobEvent(effect.id, 'refused', { reason, retryAfterMs });
    this.jobs.delete(effect.id);
    active?.job.handleEnd({ kind: 'refused', reason, retryAfterMs });
  }

  private async sendCheckpoint(effect: EffectOf<'yield'>): Promise<void> {
    this.options.metrics.recordCount('preemptions');
    this.recordJobEvent(effect.id, 'yield asked', { worker: effect.worker, inFavourOf: effect.inFavourOf });
    await this.options.directory
      .readClient(effect.worker)
      ?.sendTaskControl(this.toTaskId(effect.id), 'checkpoint', 0);
  }

  private async startTask(effect: EffectOf<'place'>): Promise<void> {
    const active = this.jobs.get(effect.id);
    const client = this.options.directory.readClient(effect.worker);
    const row = this.options.readTable().rows.get(effect.row);
    const task = this.options.scheduler.readTask(effect.id);
    if (active === undefined || client === undefined || row === undefined || task === undefined) {
      this.handleEvent({ kind: 'finish', id: effect.id });
      return;
    }
    const { job } = active;
    const { worker, waitedMs, waitedFor } = effect;
    active.timeLimitMs = job.leaseMs ?? row.timeLimitMs;
    active.sentAt = this.options.context.clock.getNow();
    this.options.metrics.recordWait(effect.row, waitedMs);
    this.recordJobEvent(job.id, 'placed', {
      worker,
      waitedMs: Math.round(waitedMs),
      waitedFor,
      placement: row.placement,
    });
    const result = await client.sendTask({
      task: this.toTaskId(job.id),
      row: job.row,
      callerRequest: job.callerRequest,
      demand: task.need,
      timeLimitMs: active.timeLimitMs,
      getDeadline: () => this.readEndsAt(active),
      body: job.body,
      headers: job.headers,
      hasRight: () => this.hasRight(active, worker),
      token: this.options.directory.readToken(worker),
      handleWritten: () => this.handleWritten(active, worker),
    });
    this.handleResult(active, worker, result);
  }

  /** The last check before the order is handed over to be sent. */
  private hasRight(active: ActiveJob, worker: WorkerId): boolean {
    active.sentAt = this.options.context.clock.getNow();
    return this.options.directory.hasRight(worker) && (active.job.hasRight?.() ?? true);
  }

  /** The bytes have left: the time limit counts from here, which may be much later than the check where the process was stopped between. */
  private handleWritten(active: ActiveJob, worker: WorkerId): void {
    const now = this.options.context.clock.getNow();
    const heldUpMs = now - active.sentAt;
    active.sentAt = now;
    if (heldUpMs >= HELD_UP_MS) {
      this.logger.warn('An order left long after the check of its right.', {
        task: this.toTaskId(active.job.id),
        worker,
        heldUpMs: Math.round(heldUpMs),
      });
    }
  }

  private handleResult(active: ActiveJob, worker: WorkerId, result: DispatchResult): void {
    const { id } = active.job;
    switch (result.kind) {
      case 'answered':
        this.options.directory.recordAnswered(worker);
        this.recordJobEvent(id, 'ended', { worker, status: result.status });
        this.jobs.delete(id);
        this.handleEvent({ kind: 'finish', id });
        active.job.handleEnd(result);
        break;
      case 'yielded':
        this.recordJobEvent(id, 'yielded', { worker });
        this.handleEvent({ kind: 'unplaced', id, isYield: true });
        break;
      case 'notSent':
        this.handleNotSent(active, worker, result);
        break;
      case 'unknown':
        this.startDraining(active, worker, result.reason);
        break;
    }
  }

  private handleNotSent(active: ActiveJob, worker: WorkerId, result: NotSent): void {
    this.recordJobEvent(active.job.id, 'not sent', { worker, reason: result.reason });
    NOT_SENT_HANDLERS[result.why](this.options, worker);
    // The scheduler hears first that the worker is out, or it would choose it again.
    this.applyWorkers();
    this.handleEvent({ kind: 'unplaced', id: active.job.id, isYield: false });
  }

  /** When the worker has ended the task at the latest. */
  private readEndsAt(active: ActiveJob): number {
    return active.sentAt + active.timeLimitMs + this.options.context.settings.timings.marginMs;
  }

  /** The slot stays taken until the task is known to have ended: by a report, or by its time limit. */
  private startDraining(active: ActiveJob, worker: WorkerId, reason: string): void {
    const now = this.options.context.clock.getNow();
    const timer = setTimeout(
      () => this.handleDrained(active.job.id),
      Math.max(0, this.readEndsAt(active) - now),
    );
    active.draining = { since: now, timer };
    this.options.metrics.recordCount('unknownEnds');
    this.recordJobEvent(active.job.id, 'end not seen', { worker, reason });
    active.job.handleEnd({ kind: 'unknown', reason });
  }

  private handleDrained(id: RequestId): void {
    const active = this.jobs.get(id);
    if (active?.draining === undefined) {
      return;
    }
    clearTimeout(active.draining.timer);
    this.jobs.delete(id);
    this.recordJobEvent(id, 'known to have ended', {});
    this.handleEvent({ kind: 'finish', id });
    active.job.handleEnd({ kind: 'drained' });
  }

  private recordJobEvent(
    id: RequestId,
    kind: string,
    detail: Record<string, string | number | boolean>,
  ): void {
    const request = this.jobs.get(id)?.job.callerRequest ?? id;
    this.options.context.timeline.recordEvent({
      part: 'scheduler',
      kind,
      request: request as RequestId,
      detail,
    });
  }
}
