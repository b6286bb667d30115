import type { BoxId } from '../../packages/common/BoxId';
import { createRandom } from '../../packages/common/createRandom';
import type { ProcessId } from '../../packages/common/ProcessId';
import type { Random } from '../../packages/common/Random';
import { toId } from '../../packages/common/toId';
import type { UnitId } from '../../packages/common/UnitId';
import type { HallRecord } from '../../packages/ownership/HallRecord';
import type { Holding } from '../../packages/ownership/Holding';
import { Ownership } from '../../packages/ownership/Ownership';
import type { OwnershipRules } from '../../packages/ownership/OwnershipRules';
import { toBox } from '../../packages/ownership/toBox';
import type { WorkerReport } from '../../packages/ownership/WorkerReport';
import { createCounts } from './createCounts';
import type { ExplorerCounts } from './ExplorerCounts';
import type { ExplorerMessage } from './ExplorerMessage';
import type { ExplorerProcess } from './ExplorerProcess';
import type { ExplorerStep } from './ExplorerStep';
import type { ExplorerTask } from './ExplorerTask';
import { explorerTimings } from './explorerTimings';

interface WorldOptions {
  readonly rules: OwnershipRules;
  readonly seed: number;
  /** Orders leave in a step of their own after their check; the worker refuses lower tokens, or guards nothing. */
  readonly heldOrders?: 'guarded' | 'unguarded' | undefined;
}

type Action = (left: number, right: number) => void;

const FAULTS_PER_THOUSAND = [10, 25, 50, 100] as const;
const TIME_STEPS_MS = [80, 150, 300, 500] as const;
const BOXES = 3;
const CAPACITY = 2;
const WORKER = toId<UnitId>('worker/w');
const SEAT = toId<UnitId>('seat/watch/0');
/** A request is under way to the worker at most this long, in milliseconds; below the margin. */
const MAX_FLIGHT_MS = 80;
/** Reports are at most this old, in milliseconds. */
const MAX_REPORT_AGE_MS = 300;
const MAX_UNDER_WAY = 60;

/**
 * A hall of three boxes, one worker and one standing seat, on virtual time. Every action is one that the brief allows:
 * deaths, pauses, cuts, a log that is out or loses answers, messages that come late or not at all. After each step
 * the worker's sum must fit, the replica must run at most once, and no two processes may hold one right.
 */
export class ExplorerWorld {
  private time = 0;
  private readonly random: Random;
  private readonly processes: ExplorerProcess[] = [];
  private readonly log: HallRecord[] = [];
  private firstOffset = 0;
  private tasks: ExplorerTask[] = [];
  private underWay: ExplorerMessage[] = [];
  private readonly cuts = new Set<string>();
  private readonly logCuts = new Set<number>();
  private isLogDown = false;
  private taskCount = 0;
  private startCount = 0;
  /** The highest token that the worker has seen. */
  private token = 0;
  private readonly timeStepMs: number;
  /** Runs are from calm to rough, by their seed. */
  private readonly faultsPerThousand: number;
  readonly counts: ExplorerCounts = createCounts();

  /** What goes on without failures, with its weights. */
  private readonly workActions: readonly Action[] = [
    ...this.toRepeated(5, (left) => this.applyTime(left % this.timeStepMs)),
    ...this.toRepeated(12, (left, right) => this.sendQuestion(left, right, true)),
    ...this.toRepeated(1, (left, right) => this.sendQuestion(left, right, false)),
    ...this.toRepeated(8, (left) => this.sendRead(left, true)),
    ...this.toRepeated(1, (left) => this.sendRead(left, false)),
    ...this.toRepeated(4, (left) => this.sendProposal(left, true)),
    ...this.toRepeated(1, (left) => this.sendProposal(left, false)),
    ...this.toRepeated(3, (left) => this.handleUnderWay(left)),
    ...this.toRepeated(6, (left) => this.sendReport(left)),
    ...this.toRepeated(8, (left, right) => this.placeTask(left, right)),
    ...this.toRepeated(3, (left) => this.placeReplica(left)),
    ...this.toRepeated(2, (left) => this.renewReplica(left)),
    ...this.toRepeated(2, (left) => this.handleTaskEnd(left)),
    ...this.toRepeated(3, (left, right) => this.handleProbe(left, right)),
    ...this.toRepeated(1, (left) => this.startProcess(left)),
  ];

  /** What comes beside it where orders leave in a step of their own. */
  private readonly orderActions: readonly Action[] = [
    ...this.toRepeated(6, (left) => this.sendFence(left)),
    ...this.toRepeated(12, (left) => this.sendHeldOrder(left)),
  ];

  private readonly faultActions: readonly Action[] = [
    ...this.toRepeated(1, (left) => this.handleLost(left)),
    ...this.toRepeated(1, (left) => this.applyTime(left % 1500)),
    ...this.toRepeated(3, (left) => this.handlePause(left)),
    ...this.toRepeated(4, (left) => this.handleResume(left)),
    ...this.toRepeated(1, (left) => this.handleDeath(left)),
    ...this.toRepeated(1, (left) => this.handlePlannedStop(left)),
    ...this.toRepeated(2, (left, right) => this.handleCut(left, right)),
    ...this.toRepeated(3, () => this.handleHeal()),
    ...this.toRepeated(1, (left) => this.handleLogOutage(left)),
    ...this.toRepeated(1, (left) => this.sendStanding(left)),
    ...this.toRepeated(1, (left) => this.handleTrim(left)),
  ];

  constructor(private readonly options: WorldOptions) {
    this.random = createRandom(options.seed);
    this.timeStepMs = TIME_STEPS_MS[Math.floor(options.seed / 7) % TIME_STEPS_MS.length] ?? 1;
    this.faultsPerThousand = FAULTS_PER_THOUSAND[options.seed % FAULTS_PER_THOUSAND.length] ?? 0;
    for (let box = 0; box < BOXES; box += 1) {
      this.startProcess(box);
    }
  }

  /** Takes one step. Returns what is broken, or undefined. */
  applyStep(step: ExplorerStep): string | undefined {
    this.counts.steps += 1;
    const isFault = step.action % 1000 < this.faultsPerThousand;
    const workActions =
      this.options.heldOrders === undefined ? this.workActions : [...this.workActions, ...this.orderActions];
    const actions = isFault ? this.faultActions : workActions;
    actions[Math.floor(step.action / 1000) % actions.length]?.(step.left, step.right);
    return this.checkWorker() ?? this.checkRights(WORKER) ?? this.checkRights(SEAT);
  }

  private toRepeated(count: number, action: Action): readonly Action[] {
    return Array.from({ length: count }, () => action);
  }

  private checkWorker(): string | undefined {
    const running = this.tasks.filter((task) => !task.isHeld && task.endsAt > this.time);
    const sum = running.reduce((slots, task) => slots + task.slots, 0);
    if (sum > CAPACITY) {
      const who = running.map((task) => `${task.id} (${task.slots})`).join(', ');
      return `overfilled at ${this.time}: ${who}`;
    }
    const replicas = running.filter((task) => task.isReplica);
    return replicas.length > 1
      ? `replica twice at ${this.time}: ${replicas.map((task) => task.id).join(', ')}`
      : undefined;
  }

  /** Stronger than the sums: no two processes may hold the right at once, not even one that is paused and resumes now. */
  private checkRights(unit: UnitId): string | undefined {
    const holders = this.processes.filter(
      (process) =>
        process.state !== 'dead' && process.ownership.readRight(unit, this.toLocal(process)) === 'granted',
    );
    return holders.length > 1
      ? `two owners of ${unit} at ${this.time}: ${holders.map((one) => one.id).join(', ')}`
      : undefined;
  }

  private toLocal(process: ExplorerProcess): number {
    return process.offset + process.rate * this.time;
  }

  /** The process of a box that has not died, if any. */
  private readAlive(box: number): ExplorerProcess | undefined {
    return this.processes.find((process) => process.box === box % BOXES && process.state !== 'dead');
  }

  private readRunning(box: number): ExplorerProcess | undefined {
    const process = this.readAlive(box);
    return process?.state === 'running' ? process : undefined;
  }

  private readProcess(id: ProcessId): ExplorerProcess | undefined {
    return this.processes.find((process) => process.id === id);
  }

  private isCut(left: number, right: number): boolean {
    return this.cuts.has([left, right].sort().join('-'));
  }

  private hasLog(process: ExplorerProcess): boolean {
    return !this.isLogDown && !this.logCuts.has(process.box);
  }

  private applyTime(ms: number): void {
    this.time += ms;
    this.tasks = this.tasks.filter((task) => task.isHeld || task.endsAt > this.time - 60_000);
    for (const process of this.processes) {
      if (process.state === 'running') {
        process.ownership.applyTime(this.toLocal(process));
      }
    }
  }

  private startProcess(left: number): void {
    const box = left % BOXES;
    if (this.readAlive(box) !== undefined) {
      return;
    }
    this.startCount += 1;
    const id = toId<ProcessId>(`box${box}#${this.startCount}`);
    const ownership = new Ownership({
      self: id,
      timings: explorerTimings,
      rules: this.options.rules,
      readOwnHoldings: (unit) => this.createHoldings(id, unit),
    });
    ownership.applyKnownUnits([WORKER, SEAT]);
    const rate = 0.98 + 0.04 * this.random();
    this.processes.push({
      id,
      box,
      ownership,
      offset: Math.floor(this.random() * 1e6),
      rate,
      state: 'running',
      isStopped: false,
      fencedGrant: undefined,
    });
  }

  private createHoldings(id: ProcessId, unit: UnitId): readonly Holding[] {
    const process = this.readProcess(id);
    if (process === undefined) {
      return [];
    }
    const { seatLeaseMs, longestTaskMs, marginMs } = explorerTimings;
    return this.tasks
      .filter((task) => task.holder === id && !task.isKnownEnded && (unit === WORKER || task.isReplica))
      .map((task) => ({
        task: task.id,
        holder: id,
        need: { cpus: 0, memoryMb: 0, accelerators: 0, slots: task.slots },
        endsWithinMs: task.isReplica
          ? seatLeaseMs + marginMs
          : Math.max(0, task.countedFrom + longestTaskMs + marginMs - this.toLocal(process)),
        isRenewable: task.isReplica,
      }));
  }

  private sendQuestion(left: number, right: number, isPrompt: boolean): void {
    const from = this.readRunning(left);
    const to = this.readAlive(right);
    if (from === undefined || to === undefined || from === to) {
      return;
    }
    const askedAt = this.toLocal(from);
    const message = from.ownership.createMessage(askedAt, to.id);
    this.sendMessage({ kind: 'question', to: to.id, askedAt, message }, isPrompt);
  }

  /** Delivers at once, or leaves it under way. */
  private sendMessage(message: ExplorerMessage, isPrompt: boolean): void {
    if (isPrompt && this.handleMessage(message, isPrompt)) {
      return;
    }
    if (this.underWay.length < MAX_UNDER_WAY) {
      this.underWay.push(message);
    }
  }

  private handleUnderWay(left: number): void {
    const index = left % Math.max(1, this.underWay.length);
    const message = this.underWay[index];
    if (message !== undefined && this.handleMessage(message, left % 2 === 0)) {
      this.underWay.splice(index, 1);
    }
  }

  private handleLost(left: number): void {
    this.underWay.splice(left % Math.max(1, this.underWay.length), 1);
  }

  /** Returns false when it cannot arrive now. */
  private handleMessage(message: ExplorerMessage, isPrompt: boolean): boolean {
    if (message.kind === 'append') {
      if (this.isLogDown) {
        return false;
      }
      this.log.push(message.record);
      this.counts.views += message.record.kind === 'view' ? 1 : 0;
      return true;
    }
    const to = this.readProcess(message.to);
    if (to === undefined || to.state === 'dead') {
      return true;
    }
    return to.state === 'running' && this.handleAt(to, message, isPrompt);
  }

  private handleAt(
    to: ExplorerProcess,
    message: Exclude<ExplorerMessage, { kind: 'append' }>,
    isPrompt: boolean,
  ): boolean {
    const now = this.toLocal(to);
    switch (message.kind) {
      case 'question':
        return this.handleQuestion(to, message, isPrompt);
      case 'answer': {
        const from = this.readProcess(message.message.from);
        if (from === undefined || this.isCut(from.box, to.box)) {
          return false;
        }
        to.ownership.handleAnswer(message.message, message.askedAt, now);
        return true;
      }
      case 'page':
        to.ownership.applyLogRead(message.read, now);
        // A process holds its box's address, so every earlier start of the box has ended.
        to.ownership.recordAlive(toBox(to.id), to.id, now);
        return true;
      case 'report':
        to.ownership.applyReport(WORKER, message.report, message.askedAt, now);
        return true;
    }
  }

  private handleQuestion(
    to: ExplorerProcess,
    message: ExplorerMessage & { kind: 'question' },
    isPrompt: boolean,
  ): boolean {
    const from = this.readProcess(message.message.from);
    if (from === undefined || this.isCut(from.box, to.box)) {
      return false;
    }
    const answer = to.ownership.handleQuestion(message.message, this.toLocal(to));
    this.sendMessage({ kind: 'answer', to: from.id, askedAt: message.askedAt, message: answer }, isPrompt);
    return true;
  }

  private sendRead(left: number, isPrompt: boolean): void {
    const process = this.readRunning(left);
    if (process === undefined || !this.hasLog(process)) {
      return;
    }
    const from = Math.max(process.ownership.readNextOffset(), this.firstOffset);
    const records = this.log.slice(from).map((record, index) => ({ offset: from + index, record }));
    const read = { askedAt: this.toLocal(process), records, tail: this.log.length, first: this.firstOffset };
    this.sendMessage({ kind: 'page', to: process.id, read }, isPrompt);
  }

  private sendProposal(left: number, isPrompt: boolean): void {
    const process = this.readRunning(left);
    const view = process?.ownership.createProposal(this.toLocal(process));
    if (process !== undefined && view !== undefined) {
      const canLand = isPrompt && this.hasLog(process);
      this.sendMessage({ kind: 'append', record: { kind: 'view', view, proposer: process.id } }, canLand);
    }
  }

  private sendStanding(left: number): void {
    const process = this.readRunning(left);
    const view = process?.ownership.readView();
    if (
      process !== undefined &&
      view !== undefined &&
      this.hasLog(process) &&
      view.members.includes(process.id)
    ) {
      this.log.push({ kind: 'standing', view, asOf: process.ownership.readNextOffset() - 1 });
    }
  }

  /** The log forgets what lies before a standing view that is itself still there. */
  private handleTrim(left: number): void {
    const standing = this.log.findIndex(
      (record, offset) => offset >= this.firstOffset && record.kind === 'standing',
    );
    const record = this.log[standing];
    if (record?.kind === 'standing' && left % 3 === 0) {
      this.firstOffset = Math.max(this.firstOffset, Math.min(record.asOf + 1, standing));
    }
  }

  private sendReport(left: number): void {
    const process = this.readRunning(left);
    if (process === undefined || !this.hasLog(process)) {
      return;
    }
    const ageMs = left % MAX_REPORT_AGE_MS;
    const takenAt = this.time - ageMs;
    const listed = this.tasks.filter(
      (task) =>
        !task.isHeld && task.startsAt <= takenAt && task.endsAt > takenAt && task.endsAt > this.time - ageMs,
    );
    const report: WorkerReport = { ageMs: ageMs * 1.05, tasks: this.toListing(listed) };
    this.sendMessage(
      { kind: 'report', to: process.id, askedAt: this.toLocal(process), report },
      left % 4 !== 0,
    );
  }

  private toListing(tasks: readonly ExplorerTask[]): WorkerReport['tasks'] {
    return tasks.map((task) => ({
      task: task.id,
      need: { cpus: 0, memoryMb: 0, accelerators: 0, slots: task.slots },
      endsWithinMs: Math.max(0, task.endsAt - this.time),
    }));
  }

  /** A new owner has the worker shut earlier owners out and list what runs there. */
  private sendFence(left: number): void {
    const process = this.readRunning(left);
    const grant = process?.ownership.readGrant(WORKER);
    if (process === undefined || grant === undefined || process.fencedGrant === grant) {
      return;
    }
    const now = this.toLocal(process);
    const right = process.ownership.readRight(WORKER, now);
    const isClear = right === 'granted' || right === 'unsettled';
    if (isClear && this.hasTakenToken(process.ownership.readToken(WORKER) ?? 0)) {
      const running = this.tasks.filter((task) => !task.isHeld && task.endsAt > this.time);
      process.ownership.applyFence(WORKER, grant, this.toListing(running), now);
      process.fencedGrant = grant;
    }
  }

  /** Takes an order's token; false when the worker refuses it. */
  private hasTakenToken(token: number): boolean {
    if (this.options.heldOrders === 'guarded' && token < this.token) {
      return false;
    }
    this.token = Math.max(this.token, token);
    return true;
  }

  /** The bytes of an order leave, whatever has become of its sender's rights since the check. */
  private sendHeldOrder(left: number): void {
    const process = this.readRunning(left);
    const order = this.tasks.find((task) => task.isHeld && task.holder === process?.id);
    if (process === undefined || order === undefined) {
      return;
    }
    this.counts.heldUp += 1;
    if (!this.hasTakenToken(order.token)) {
      this.counts.refusedByToken += 1;
      this.tasks = this.tasks.filter((task) => task !== order);
      return;
    }
    const limitMs = order.endsAt - order.startsAt;
    order.isHeld = false;
    order.startsAt = this.time;
    order.endsAt = this.time + limitMs;
    order.countedFrom = this.toLocal(process);
  }

  private readRoom(process: ExplorerProcess): number {
    const own = this.tasks.filter((task) => task.holder === process.id && !task.isKnownEnded);
    const used = own.reduce((slots, task) => slots + task.slots, 0);
    return CAPACITY - used - process.ownership.readForeign(WORKER).slots;
  }

  private hasRight(process: ExplorerProcess, unit: UnitId): boolean {
    const isOwner = process.ownership.readRight(unit, this.toLocal(process)) === 'granted';
    const isFenced = process.fencedGrant === process.ownership.readGrant(unit);
    const isGranted = isOwner && (unit !== WORKER || this.options.heldOrders === undefined || isFenced);
    this.counts.refusedByRight += isGranted ? 0 : 1;
    return isGranted;
  }

  private placeTask(left: number, right: number): void {
    const process = this.readRunning(left);
    const slots = 1 + (right % CAPACITY);
    if (process !== undefined && this.hasRight(process, WORKER) && this.readRoom(process) >= slots) {
      this.startTask(process, slots, false, explorerTimings.longestTaskMs);
    }
  }

  private placeReplica(left: number): void {
    const process = this.readRunning(left);
    if (process === undefined || this.readRoom(process) < 1) {
      return;
    }
    const hasReplica = this.tasks.some(
      (task) => task.isReplica && task.holder === process.id && !task.isKnownEnded,
    );
    const isSeatFree = process.ownership.readForeignCount(SEAT) === 0 && !hasReplica;
    if (isSeatFree && this.hasRight(process, SEAT) && this.hasRight(process, WORKER)) {
      this.counts.replicas += 1;
      this.startTask(process, 1, true, explorerTimings.seatLeaseMs);
    }
  }

  private startTask(process: ExplorerProcess, slots: number, isReplica: boolean, limitMs: number): void {
    this.taskCount += 1;
    this.counts.placed += 1;
    const startsAt = this.time + Math.floor(this.random() * MAX_FLIGHT_MS);
    this.tasks.push({
      id: `${process.id}/${this.taskCount}`,
      holder: process.id,
      slots,
      isReplica,
      startsAt,
      endsAt: startsAt + limitMs,
      isKnownEnded: false,
      countedFrom: this.toLocal(process),
      grant: process.ownership.readGrant(SEAT) ?? 0,
      token: process.ownership.readToken(WORKER) ?? 0,
      isHeld: this.options.heldOrders !== undefined,
    });
  }

  private renewReplica(left: number): void {
    const process = this.readRunning(left);
    const task = this.tasks.find(
      (one) =>
        one.isReplica &&
        one.holder === process?.id &&
        !one.isHeld &&
        !one.isKnownEnded &&
        one.endsAt > this.time,
    );
    if (process === undefined || task === undefined || process.ownership.readGrant(SEAT) !== task.grant) {
      return;
    }
    if (this.hasRight(process, SEAT)) {
      task.countedFrom = this.toLocal(process);
      task.endsAt = this.time + Math.floor(this.random() * MAX_FLIGHT_MS) + explorerTimings.seatLeaseMs;
    }
  }

  /** A task ends early, or its holder learns that its time is over. */
  private handleTaskEnd(left: number): void {
    const open = this.tasks.filter((task) => !task.isHeld && !task.isKnownEnded);
    const task = open[left % Math.max(1, open.length)];
    const holder = task === undefined ? undefined : this.readProcess(task.holder);
    if (task === undefined) {
      return;
    }
    if (task.startsAt <= this.time) {
      task.endsAt = Math.min(task.endsAt, this.time);
    }
    if (holder?.state === 'running' && task.endsAt <= this.time) {
      task.isKnownEnded = true;
    }
  }

  private handleProbe(left: number, right: number): void {
    const process = this.readRunning(left);
    const box = right % BOXES;
    if (process === undefined || process.box === box || this.isCut(process.box, box)) {
      return;
    }
    const alive = this.readAlive(box);
    if (alive?.state === 'paused') {
      return;
    }
    process.ownership.recordAlive(toId<BoxId>(`box${box}`), alive?.id, this.toLocal(process));
  }

  private handlePause(left: number): void {
    const process = this.readRunning(left);
    if (process !== undefined) {
      process.state = 'paused';
      this.counts.pauses += 1;
    }
  }

  private handleResume(left: number): void {
    const process = this.readAlive(left);
    if (process !== undefined) {
      process.state = 'running';
    }
  }

  private handleDeath(left: number): void {
    const process = this.readAlive(left);
    if (process !== undefined) {
      process.state = 'dead';
      this.counts.deaths += 1;
    }
  }

  private handlePlannedStop(left: number): void {
    const process = this.readRunning(left);
    if (process !== undefined && left % 2 === 0) {
      process.ownership.stopPlacing();
      process.isStopped = true;
    } else if (process?.isStopped === true) {
      process.state = 'dead';
    }
  }

  private handleCut(left: number, right: number): void {
    if (left % 3 === 0) {
      this.logCuts.add(right % BOXES);
    } else if (left % BOXES !== right % BOXES) {
      this.cuts.add([left % BOXES, right % BOXES].sort().join('-'));
    }
  }

  private handleHeal(): void {
    this.cuts.clear();
    this.logCuts.clear();
    this.isLogDown = false;
  }

  private handleLogOutage(left: number): void {
    this.isLogDown = left % 2 === 0;
  }
}
