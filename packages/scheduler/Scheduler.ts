import type { RequestId } from '../common/RequestId';
import type { RowName } from '../common/RowName';
import type { WorkerId } from '../common/WorkerId';
import type { Row } from '../table/Row';
import type { Team } from '../table/Team';
import { chooseRetryAfter } from './chooseRetryAfter';
import { chooseVictim } from './chooseVictim';
import { SCHEDULER } from './constants';
import { Headroom } from './Headroom';
import { policies } from './policies';
import type { Policy } from './Policy';
import type { RefusalReason } from './RefusalReason';
import { RowState } from './RowState';
import type { RowStatus } from './RowStatus';
import type { SchedulerEffect } from './SchedulerEffect';
import type { SchedulerEvent } from './SchedulerEvent';
import type { SchedulerOptions } from './SchedulerOptions';
import type { SchedulerRequest } from './SchedulerRequest';
import type { Task } from './Task';
import { TeamUsage } from './TeamUsage';
import { toLevel } from './toLevel';
import { toShare } from './toShare';
import { WorkerBooks } from './WorkerBooks';

type EventOf<Kind extends SchedulerEvent['kind']> = Extract<SchedulerEvent, { kind: Kind }>;
type Handlers = { readonly [Kind in SchedulerEvent['kind']]: (event: EventOf<Kind>, now: number) => void };

type PlaceOutcome = 'placed' | 'blocked';

/**
 * The decision core of one entry process: admission, queues, placement, preemption, limits and quotas.
 * It reads no clock and no socket: the same events at the same times give the same effects.
 */
export class Scheduler {
  private readonly policy: Policy;
  private readonly rows = new Map<RowName, RowState>();
  private readonly books = new WorkerBooks();
  private readonly tasks = new Map<RequestId, Task>();
  private readonly waiting = new Map<RequestId, SchedulerRequest>();
  private readonly teams: TeamUsage;
  /** For each task that is being stopped by checkpoint, the row it makes room for. */
  private readonly yieldFor = new Map<RequestId, RowName>();
  private readonly headroom = new Headroom();
  private tickedAt = 0;
  /** The request whose arrival is being handled: placed now, it has waited for nothing. */
  private arriving: RequestId | undefined;
  private effects: SchedulerEffect[] = [];

  private readonly handlers: Handlers = {
    request: (event, now) => this.handleRequest(event.request, now),
    finish: (event, now) => this.handleFinish(event.id, now),
    unplaced: (event, now) => this.handleUnplaced(event.id, event.isYield, now),
    cancel: (event) => this.handleCancel(event.id),
    workers: (event, now) => this.handleWorkers(event, now),
    table: (event, now) => this.handleTable(event.rows, event.teams, now),
    tick: (_event, now) => this.handleTick(now),
  };

  constructor(private readonly options: SchedulerOptions) {
    this.policy = policies[options.policy];
    this.teams = new TeamUsage(options.shareIndex, options.shareCount);
  }

  /** Handles one event at monotonic time `now` (milliseconds) and returns what is to be done, in order. */
  handle(event: SchedulerEvent, now: number): readonly SchedulerEffect[] {
    this.effects = [];
    const handler = this.handlers[event.kind] as (event: SchedulerEvent, now: number) => void;
    handler(event, now);
    return this.effects;
  }

  /** The task of a request that has a place, or undefined. */
  readTask(id: RequestId): Task | undefined {
    return this.tasks.get(id);
  }

  /** Tasks that have a place on one worker. */
  readWorkerTasks(worker: WorkerId): Iterable<RequestId> {
    return this.books.readTasks(worker);
  }

  /** Requests that wait now. */
  readWaitingCount(): number {
    return this.waiting.size;
  }

  /** Counts per row. */
  readStatus(): readonly RowStatus[] {
    return [...this.rows.values()].map((state) => ({
      row: state.row.name,
      waiting: state.waiting,
      running: state.running.size,
      room: this.readRowRoom(state),
      runMs: Math.round(state.runMs),
    }));
  }

  /** How many more tasks of a row could start here now; 0 when others of the row wait. */
  readRoom(name: RowName): number {
    const state = this.rows.get(name);
    return state === undefined ? 0 : this.readRowRoom(state);
  }

  private readRowRoom(state: RowState): number {
    if (state.waiting > 0) {
      return 0;
    }
    const { row } = state;
    const share = toShare(row.maxRunning, this.options.shareIndex, this.options.shareCount);
    const byShare = Math.floor((this.readShareSlots(row) - state.slotsHeld) / row.slots);
    return Math.max(0, Math.min(this.books.readIndex(row).readTotal(), share - state.running.size, byShare));
  }

  private handleRequest(request: SchedulerRequest, now: number): void {
    const state = this.rows.get(request.row);
    if (state === undefined) {
      this.sendRefusal(request, 'unknownRow', 0);
      return;
    }
    const refusal = this.checkAdmission(state, request, now);
    if (refusal !== undefined) {
      this.sendRefusal(request, refusal, state.readTeamDrainMs(request.team));
      return;
    }
    this.queueRequest(state, request);
    this.arriving = request.id;
    this.placeWaiting(now);
    this.arriving = undefined;
  }

  private checkAdmission(state: RowState, request: SchedulerRequest, now: number): RefusalReason | undefined {
    if (state.waiting >= state.row.maxQueued) {
      return 'queueFull';
    }
    if (!this.teams.hasQueueRoom(request.team)) {
      return 'teamQuota';
    }
    if (state.row.class === 'standing' || !this.policy.isAdmissionChecked) {
      return undefined;
    }
    const runMs = state.waiting > 0 ? this.readRunMs(state) : state.row.expectedMs;
    const endsAt = now + state.readTeamDrainMs(request.team) + runMs;
    return endsAt > request.deadlineAt ? 'deadlineUnreachable' : undefined;
  }

  /** The time that a request which has waited must have left. */
  private readRunMs(state: RowState): number {
    return this.policy.isRunSpreadCounted ? state.readLongRunMs() : state.row.expectedMs;
  }

  private handleFinish(id: RequestId, now: number): void {
    const task = this.tasks.get(id);
    if (task === undefined) {
      return;
    }
    const state = this.rows.get(task.request.row);
    if (state !== undefined) {
      this.recordRun(state, task, now - task.startedAt);
    }
    this.revokeTask(task);
    this.placeWaiting(now);
  }

  private recordRun(state: RowState, task: Task, ranMs: number): void {
    if (this.policy.isSlownessCounted && state.runMs > 0) {
      this.books.recordPace(task.worker, Math.min(SCHEDULER.maxPace, ranMs / state.runMs));
    }
    state.recordRun(ranMs);
  }

  private handleUnplaced(id: RequestId, isYield: boolean, now: number): void {
    const task = this.tasks.get(id);
    if (task === undefined) {
      return;
    }
    this.revokeTask(task);
    const state = this.rows.get(task.request.row);
    if (state === undefined) {
      this.sendRefusal(task.request, 'rowRemoved', 0);
    } else if (!isYield && now + state.row.expectedMs > task.request.deadlineAt) {
      this.sendRefusal(task.request, 'deadlinePassed', state.readTeamDrainMs(task.request.team));
    } else {
      this.queueRequest(state, task.request);
    }
    this.placeWaiting(now);
  }

  private handleCancel(id: RequestId): void {
    const request = this.waiting.get(id);
    if (request !== undefined) {
      this.revokeWaiting(request);
    }
  }

  private handleWorkers(event: EventOf<'workers'>, now: number): void {
    for (const view of event.workers) {
      this.books.applyView(view);
    }
    this.placeWaiting(now);
  }

  private handleTable(rows: readonly Row[], teams: readonly Team[], now: number): void {
    this.teams.applyTeams(teams);
    const names = new Set(rows.map((row) => row.name));
    for (const row of rows) {
      // Indexes are made here and never by a mere question, which a recorded trace does not hold.
      this.books.createIndex(row);
      const known = this.rows.get(row.name);
      if (known === undefined) {
        this.rows.set(row.name, new RowState(row));
      } else {
        known.row = row;
      }
    }
    for (const name of [...this.rows.keys()].filter((known) => !names.has(known))) {
      this.rows.delete(name);
    }
    for (const request of [...this.waiting.values()]) {
      if (!names.has(request.row)) {
        this.waiting.delete(request.id);
        this.teams.recordDequeued(request.team);
        this.sendRefusal(request, 'rowRemoved', 0);
      }
    }
    this.placeWaiting(now);
  }

  private handleTick(now: number): void {
    this.books.applyTime(now - this.tickedAt);
    this.tickedAt = now;
    for (const state of this.rows.values()) {
      this.revokeLate(state, now);
    }
    this.placeWaiting(now);
  }

  /** Gives up at once on waiting requests that can no longer end in time. */
  private revokeLate(state: RowState, now: number): void {
    if (state.row.class === 'standing') {
      return;
    }
    const runMs = this.readRunMs(state);
    for (const line of [...state.lines.values()]) {
      let head = line.queue.readHead();
      while (head !== undefined && now + runMs > head.deadlineAt) {
        this.revokeWaiting(head);
        this.sendRefusal(head, 'deadlinePassed', state.readTeamDrainMs(head.team));
        head = line.queue.readHead();
      }
    }
  }

  private queueRequest(state: RowState, request: SchedulerRequest): void {
    if (state.waiting === 0) {
      state.pass = Math.max(state.pass, this.readLowestPass());
    }
    state.queueRequest(request);
    this.waiting.set(request.id, request);
    this.teams.recordQueued(request.team);
  }

  private revokeWaiting(request: SchedulerRequest): void {
    this.waiting.delete(request.id);
    this.teams.recordDequeued(request.team);
    this.rows.get(request.row)?.revokeRequest(request);
  }

  private readLowestPass(): number {
    let lowest = Infinity;
    for (const state of this.rows.values()) {
      if (state.waiting > 0) {
        lowest = Math.min(lowest, state.pass);
      }
    }
    return lowest === Infinity ? 0 : lowest;
  }

  /** Places waiting requests until no row can go on. */
  private placeWaiting(now: number): void {
    const open = [...this.rows.values()].filter((state) => state.waiting > 0);
    while (open.length > 0) {
      const next = this.chooseRow(open, now);
      if (next === undefined) {
        return;
      }
      if (this.placeHead(next.state, next.head, now) === 'blocked' || next.state.waiting === 0) {
        open.splice(open.indexOf(next.state), 1);
      }
    }
  }

  private chooseRow(open: RowState[], now: number): { state: RowState; head: SchedulerRequest } | undefined {
    let best: { state: RowState; head: SchedulerRequest; level: number } | undefined;
    for (const state of open) {
      const head = state.readHead((team) => this.teams.hasRunRoom(team));
      if (head === undefined) {
        state.isBlockedByLimit = true;
        continue;
      }
      const candidate = { state, head, level: toLevel(state.row, head, now) };
      if (best === undefined || this.isBefore(candidate, best)) {
        best = candidate;
      }
    }
    return best;
  }

  private isBefore(
    left: { state: RowState; head: SchedulerRequest; level: number },
    right: { state: RowState; head: SchedulerRequest; level: number },
  ): boolean {
    if (!this.policy.isWeighted) {
      return left.head.arrivedAt < right.head.arrivedAt;
    }
    if (left.level !== right.level) {
      return left.level < right.level;
    }
    const byPriority = right.state.row.priority - left.state.row.priority;
    return byPriority === 0 ? left.state.pass < right.state.pass : byPriority < 0;
  }

  private placeHead(state: RowState, head: SchedulerRequest, now: number): PlaceOutcome {
    if (this.isOverLimit(state) || this.isInHeadroom(state.row, now)) {
      state.isBlockedByLimit = true;
      return 'blocked';
    }
    const index = this.books.readIndex(state.row);
    const worker = this.policy.chooseWorker(state.row, index, this.options.random());
    if (worker === undefined) {
      this.startYield(state, head, now);
      return 'blocked';
    }
    this.placeOn(state, head, worker, now);
    return 'placed';
  }

  /** True when a preemptible task would take room that service requests took back of late. */
  private isInHeadroom(row: Row, now: number): boolean {
    if (!this.policy.isHeadroomKept || !row.preemptible) {
      return false;
    }
    return this.books.readFreeSlots() - row.slots < this.headroom.readSlots(now);
  }

  private isOverLimit(state: RowState): boolean {
    const { row } = state;
    const share = toShare(row.maxRunning, this.options.shareIndex, this.options.shareCount);
    if (state.running.size >= share) {
      return true;
    }
    return this.policy.isShareKept && state.slotsHeld + row.slots > this.readShareSlots(row);
  }

  private readShareSlots(row: Row): number {
    if (row.maxSharePercent === 100) {
      return Infinity;
    }
    return Math.floor((this.books.readPlaceableSlots() * row.maxSharePercent) / 100);
  }

  private placeOn(state: RowState, request: SchedulerRequest, worker: WorkerId, now: number): void {
    const { row } = state;
    const hadOthers = state.waiting > 1;
    this.revokeWaiting(request);
    const { cpus, memoryMb, accelerators, slots } = row;
    const need = { cpus, memoryMb, accelerators, slots };
    this.tasks.set(request.id, { request, worker, need, startedAt: now, isYielding: false });
    this.books.recordPlaced(worker, request.id, need);
    this.teams.recordStarted(request.team);
    state.running.add(request.id);
    state.slotsHeld += need.slots;
    state.pass += need.slots / row.weight;
    state.recordTurn(request.team);
    this.recordStartGap(state, hadOthers, now);
    const waitedMs = now - request.arrivedAt;
    const hadToWait = request.id !== this.arriving;
    const waitedFor = !hadToWait ? 'nothing' : state.isBlockedByLimit ? 'limit' : 'room';
    state.isBlockedByLimit = false;
    this.effects.push({ kind: 'place', id: request.id, row: row.name, worker, waitedMs, waitedFor });
  }

  private recordStartGap(state: RowState, hadOthers: boolean, now: number): void {
    if (hadOthers && state.lastStartAt !== -Infinity) {
      const gap = Math.min(now - state.lastStartAt, state.runMs);
      state.startGapMs += SCHEDULER.runTimeSmoothing * (gap - state.startGapMs);
    }
    state.lastStartAt = now;
  }

  private startYield(state: RowState, head: SchedulerRequest, now: number): void {
    const isAllowed = this.policy.isPreempting && state.row.class === 'service';
    if (!isAllowed || state.pendingYields >= state.waiting) {
      return;
    }
    const victim = chooseVictim({ rows: this.rows, tasks: this.tasks, books: this.books, need: state.row });
    if (victim === undefined) {
      return;
    }
    victim.isYielding = true;
    this.headroom.recordClaim(victim.need.slots, this.books.readPlaceableSlots(), now);
    state.pendingYields += 1;
    this.yieldFor.set(victim.request.id, state.row.name);
    this.effects.push({ kind: 'yield', id: victim.request.id, worker: victim.worker, inFavourOf: head.id });
  }

  private revokeTask(task: Task): void {
    const { request, worker, need } = task;
    this.tasks.delete(request.id);
    this.books.recordFreed(worker, request.id, need);
    this.teams.recordEnded(request.team);
    const state = this.rows.get(request.row);
    if (state !== undefined && state.running.delete(request.id)) {
      state.slotsHeld -= need.slots;
    }
    const favoured = this.yieldFor.get(request.id);
    if (favoured !== undefined) {
      this.yieldFor.delete(request.id);
      const row = this.rows.get(favoured);
      if (row !== undefined) {
        row.pendingYields -= 1;
      }
    }
  }

  private sendRefusal(request: SchedulerRequest, reason: RefusalReason, drainMs: number): void {
    const retryAfterMs = chooseRetryAfter(drainMs, this.options.random);
    this.effects.push({ kind: 'refuse', id: request.id, reason, retryAfterMs });
  }
}
