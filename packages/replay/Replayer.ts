import TinyQueue from 'tinyqueue';
import { createRandom } from '../common/createRandom';
import type { RequestId } from '../common/RequestId';
import type { PolicyName } from '../scheduler/PolicyName';
import { Scheduler } from '../scheduler/Scheduler';
import type { SchedulerEffect } from '../scheduler/SchedulerEffect';
import type { SchedulerEvent } from '../scheduler/SchedulerEvent';
import type { SchedulerRequest } from '../scheduler/SchedulerRequest';
import type { ReplayOptions } from './ReplayOptions';
import type { ReplayResult } from './ReplayResult';
import { ReplayTally } from './ReplayTally';
import type { Trace } from './Trace';

interface QueuedEvent {
  readonly at: number;
  readonly order: number;
  readonly entry: number;
  readonly event: SchedulerEvent;
  readonly runMs: number | undefined;
  readonly comeBacks: number;
  /** For a planned end: the placement that it ends; void once the task has yielded. */
  readonly placement?: number;
  readonly isLoss?: boolean | undefined;
}

interface Running {
  readonly request: SchedulerRequest;
  readonly runMs: number | undefined;
  readonly comeBacks: number;
  /** Number of this placement of the request: an end planned for an earlier one is void. */
  placement: number;
}

/** How long a worker takes to stop a task by checkpoint, in milliseconds. */
const CHECKPOINT_MS = 20;
/** When the end of tasks on a lost worker is known, in milliseconds after the loss. */
const LOSS_KNOWN_MS = 3000;
/** Cores look for waiting requests that are too late this often, in milliseconds. */
const TICK_MS = 100;
/** What a peer said of its room is this old on average, in milliseconds. */
const ROOM_AGE_MS = 1000;

/** Figures are kept for each team of a row. */
const toLabel = (request: SchedulerRequest): string => `${request.row} ${request.team}`;

/** Drives one decision core per entry box through a trace on virtual time. */
export class Replayer {
  private readonly queue = new TinyQueue<QueuedEvent>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );
  private readonly cores: readonly Scheduler[];
  private readonly tally = new ReplayTally();
  private readonly known = new Map<RequestId, Running>();
  private readonly told: Map<string, number>[];
  private toldAt = -Infinity;
  private order = 0;

  constructor(
    private readonly trace: Trace,
    private readonly policy: PolicyName,
    private readonly options: ReplayOptions,
  ) {
    this.cores = Array.from({ length: trace.entries }, (_, index) => {
      const shareIndex = trace.entries === 1 ? trace.shareIndex : index;
      const random = createRandom(trace.seed + index);
      return new Scheduler({ policy, random, shareIndex, shareCount: trace.shareCount });
    });
    this.told = this.cores.map(() => new Map());
    for (const line of trace.lines) {
      this.queueEvent({ ...line, runMs: line.runMs, isLoss: line.isLoss, comeBacks: options.comeBacks });
    }
  }

  /** Runs to the end and returns the figures. */
  createResult(): ReplayResult {
    const last = this.trace.lines.at(-1)?.at ?? 0;
    const isDriven = this.trace.lines.some((line) => line.runMs !== undefined);
    if (isDriven) {
      this.queueTicks(this.trace.lines[0]?.at ?? 0, last);
    }
    let next = this.queue.pop();
    while (next !== undefined) {
      this.applyEvent(next);
      next = this.queue.pop();
    }
    return this.tally.createResult(this.policy);
  }

  private queueTicks(from: number, until: number): void {
    for (let at = from + TICK_MS; at <= until + 60_000; at += TICK_MS) {
      for (const entry of this.cores.keys()) {
        this.queueEvent({ at, entry, event: { kind: 'tick' }, runMs: undefined, comeBacks: 0 });
      }
    }
  }

  private queueEvent(event: Omit<QueuedEvent, 'order'>): void {
    this.queue.push({ ...event, order: this.order });
    this.order += 1;
  }

  private applyEvent(item: QueuedEvent): void {
    this.tally.events += 1;
    this.tally.recordTime(item.at, this.readWaiting());
    if (item.event.kind === 'request') {
      this.applyRequest(item, item.event.request);
      return;
    }
    if (this.isVoid(item)) {
      return;
    }
    this.recordWorkers(item.event);
    if (item.isLoss === true) {
      this.queueLosses(item);
    }
    this.applyTo(item.entry, item.event, item.at);
  }

  /** What ran on a lost worker is known to have ended only after a while, and then runs again. */
  private queueLosses(item: QueuedEvent): void {
    if (item.event.kind !== 'workers') {
      return;
    }
    for (const worker of item.event.workers) {
      for (const id of this.cores[item.entry]?.readWorkerTasks(worker.id) ?? []) {
        const running = this.known.get(id);
        if (running !== undefined) {
          running.placement += 1;
          const event: SchedulerEvent = { kind: 'unplaced', id, isYield: true };
          this.queueEvent({
            at: item.at + LOSS_KNOWN_MS,
            entry: item.entry,
            event,
            runMs: undefined,
            comeBacks: 0,
          });
        }
      }
    }
  }

  private isVoid(item: QueuedEvent): boolean {
    if (item.placement === undefined || item.event.kind !== 'finish') {
      return false;
    }
    return this.known.get(item.event.id)?.placement !== item.placement;
  }

  private readWaiting(): number {
    return this.cores.reduce((sum, core) => sum + core.readWaitingCount(), 0);
  }

  private recordWorkers(event: SchedulerEvent): void {
    if (event.kind === 'workers') {
      for (const worker of event.workers) {
        this.tally.recordCapacity(worker.id, worker.capacity);
      }
    }
  }

  private applyRequest(item: QueuedEvent, request: SchedulerRequest): void {
    if (item.comeBacks === this.options.comeBacks) {
      this.tally.recordRequest(toLabel(request));
    }
    this.known.set(request.id, { request, runMs: item.runMs, comeBacks: item.comeBacks, placement: 0 });
    const entry = this.chooseEntry(item.entry, request, item.at);
    this.applyTo(entry, { kind: 'request', request }, item.at);
  }

  /** As the entry process does: own workers first, then one hop to the box that last told of the most room. */
  private chooseEntry(entry: number, request: SchedulerRequest, at: number): number {
    if (this.cores.length === 1 || (this.cores[entry]?.readRoom(request.row) ?? 0) > 0) {
      return entry;
    }
    this.applyTold(at);
    let best = entry;
    let bestRoom = 0;
    for (const [other, rooms] of this.told.entries()) {
      const room = rooms.get(request.row) ?? 0;
      if (other !== entry && room > bestRoom) {
        best = other;
        bestRoom = room;
      }
    }
    if (best !== entry) {
      this.told[best]?.set(request.row, bestRoom - 1);
      this.tally.sentOn += 1;
    }
    return best;
  }

  private applyTold(at: number): void {
    if (at < this.toldAt + ROOM_AGE_MS) {
      return;
    }
    this.toldAt = at;
    for (const [entry, core] of this.cores.entries()) {
      this.told[entry] = new Map(core.readStatus().map((status) => [status.row, status.room]));
    }
  }

  private applyTo(entry: number, event: SchedulerEvent, at: number): void {
    const core = this.cores[entry];
    if (core === undefined) {
      return;
    }
    const ended = event.kind === 'finish' || event.kind === 'unplaced' ? core.readTask(event.id) : undefined;
    if (ended !== undefined) {
      this.tally.recordFreed(ended.worker, ended.need);
      if (event.kind === 'finish') {
        this.tally.recordEnded(toLabel(ended.request), at > ended.request.deadlineAt);
        this.known.delete(ended.request.id);
      }
    }
    for (const effect of core.handle(event, at)) {
      this.tally.recordEffect(effect, at);
      this.applyEffect(entry, core, effect, at);
    }
    this.tally.recordTime(at, this.readWaiting());
  }

  private applyEffect(entry: number, core: Scheduler, effect: SchedulerEffect, at: number): void {
    const running = this.known.get(effect.id);
    switch (effect.kind) {
      case 'place': {
        const task = core.readTask(effect.id);
        if (running !== undefined && task !== undefined) {
          this.tally.recordPlaced(toLabel(running.request), effect.worker, task.need, effect.waitedMs);
          this.queueEnd(entry, running, effect.worker, at);
        }
        break;
      }
      case 'yield':
        if (running?.runMs !== undefined) {
          running.placement += 1;
          const event: SchedulerEvent = { kind: 'unplaced', id: effect.id, isYield: true };
          this.queueEvent({ at: at + CHECKPOINT_MS, entry, event, runMs: undefined, comeBacks: 0 });
        }
        break;
      case 'refuse':
        this.handleRefusal(entry, running, effect.retryAfterMs, at);
        break;
    }
  }

  private queueEnd(entry: number, running: Running, worker: string, at: number): void {
    if (running.runMs === undefined) {
      return;
    }
    running.placement += 1;
    const { placement } = running;
    const { id } = running.request;
    const event: SchedulerEvent = { kind: 'finish', id };
    const endsAt = at + running.runMs * (this.trace.slow[worker] ?? 1);
    this.queueEvent({ at: endsAt, entry, event, runMs: undefined, comeBacks: 0, placement });
  }

  private handleRefusal(entry: number, running: Running | undefined, retryAfterMs: number, at: number): void {
    if (running === undefined) {
      return;
    }
    const { request, runMs, comeBacks } = running;
    this.known.delete(request.id);
    if (comeBacks === 0 || runMs === undefined) {
      this.tally.recordRefused(toLabel(request));
      return;
    }
    const arrivedAt = at + retryAfterMs;
    const deadlineAt = arrivedAt + (request.deadlineAt - request.arrivedAt);
    const again: SchedulerRequest = { ...request, arrivedAt, deadlineAt };
    this.queueEvent({
      at: arrivedAt,
      entry,
      event: { kind: 'request', request: again },
      runMs,
      comeBacks: comeBacks - 1,
    });
  }
}
