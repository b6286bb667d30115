import { createRandom } from '../../packages/common/createRandom';
import type { Random } from '../../packages/common/Random';
import { toId } from '../../packages/common/toId';
import type { DispatchEffect } from '../../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { EndpointProfile } from '../../packages/dispatch/endpoints/EndpointProfile';
import { endpointIncarnations } from '../../packages/jobs/endpointIncarnations';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import { formatProgress } from '../../packages/jobs/formatProgress';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import type { JobId } from '../../packages/jobs/JobId';
import { JobProgress } from '../../packages/jobs/JobProgress';
import type { JobState } from '../../packages/jobs/JobState';
import { parseProgress } from '../../packages/jobs/parseProgress';
import type { TaskName } from '../../packages/jobs/TaskName';
import { createProfile } from './createProfile';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

/** What the tasks of a job do once they run: they end their endpoint after some milliseconds, or are done. */
export interface TaskBehaviour {
  readonly runMs: number;
  readonly crashAfterMs?: number;
}

interface CrashWorldOptions {
  readonly seed: number;
  readonly endpoints: number;
  readonly cpuMillis: number;
  /** How long a machine is away after a crash. */
  readonly returnMs: number;
  /** Endpoints come back under their ids, as another life, rather than under a new id. */
  readonly keepsIds?: boolean;
  /** Crashed machines say nothing, rather than refuse connections. */
  readonly isDark?: boolean;
  /** The answer to a start that ends its endpoint is lost. */
  readonly isAnswerLost?: boolean;
  /** Another leader takes over so often, with what is durable. */
  readonly leaderEveryMs?: number;
  /** From then on one leader stays: each waits anew for the leases of those before it. */
  readonly leadersUntilMs?: number;
}

interface ModelRun {
  readonly task: TaskName;
  readonly run: number;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly crashesAt: number;
}

/** One machine; it holds one life of an endpoint at a time. */
interface Machine {
  readonly index: number;
  lifeCount: number;
  /** Undefined while the machine is away. */
  life: Life | undefined;
  backAt: number;
}

interface Life {
  readonly profile: EndpointProfile;
  readonly runs: Map<TaskName, ModelRun>;
  ends: EndedTaskStatus[];
  endCount: number;
}

interface JobFigures {
  readonly definition: JobDefinition;
  readonly behaviour: TaskBehaviour;
  readonly acceptedAt: number;
  endedAt: number | undefined;
}

const STEP_MS = 10;
const LOOK_EVERY_MS = 50;
const DARK_NOTICE_MS = 700;
const LEASE_MS = 4000;
const LEASE_BOUND_MS = 4370;
/** An endpoint's record goes so long after its last sign of life. */
const RECORD_LAPSE_MS = 4500;
const ORDER_TIMEOUT_MS = 120;
const CRASHES_BORNE = 3;

/**
 * A cell on virtual time whose endpoints are ended by what runs on them, or from outside, and come back as new lives at the same
 * address. It drives the dispatcher as the leader's duty does: a start leaves once its record is durable, a look is answered by the life
 * that is there, and a new leader begins with the log alone.
 */
export class CrashWorld {
  readonly startCounts = new Map<TaskName, number>();
  /** Starts of tasks after three lives had ended under them. */
  readonly startsAfterThird = new Map<TaskName, number>();
  private readonly crashCounts = new Map<TaskName, number>();
  /** Lives that tasks have ended. */
  crashCount = 0;
  /** Sentences of the leaders' log, with their fields. */
  readonly lines: {
    readonly at: number;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }[] = [];
  private readonly random: Random;
  private now = 0;
  private dispatcher!: Dispatcher;
  private readonly machines: Machine[] = [];
  private readonly jobs = new Map<JobId, JobFigures>();
  private readonly log = new Map<JobId, string>();
  /** Ids that the leader looks at, with the machine at whose address they were. */
  private readonly looked = new Map<EndpointIncarnation, Machine>();
  private readonly leavesAt = new Map<EndpointIncarnation, number>();
  private readonly unanswered: { readonly at: number; readonly effect: StartEffect }[] = [];
  private readonly darkSince = new Map<EndpointIncarnation, number>();

  constructor(private readonly options: CrashWorldOptions) {
    this.random = createRandom(options.seed);
    for (let index = 0; index < options.endpoints; index += 1) {
      const machine: Machine = { index, lifeCount: 0, life: undefined, backAt: 0 };
      this.machines.push(machine);
      this.startLife(machine);
    }
    this.startLeader();
  }

  /** Takes a job in at the present time. */
  handleJob(definition: JobDefinition, behaviour: TaskBehaviour): void {
    this.jobs.set(definition.id, { definition, behaviour, acceptedAt: this.now, endedAt: undefined });
    this.dispatcher.handleJob(definition, new JobProgress(definition), this.now);
  }

  readNow(): number {
    return this.now;
  }

  /** Most starts of one task after three lives had ended under it. */
  readMostAfterThird(): number {
    return Math.max(0, ...this.startsAfterThird.values());
  }

  readState(id: JobId): JobState {
    return this.readProgress(this.jobs.get(id)!.definition).getState();
  }

  /** Time from acceptance to the end of a job, Infinity while it has none. */
  readTookMs(id: JobId): number {
    const { acceptedAt, endedAt } = this.jobs.get(id)!;
    return endedAt === undefined ? Infinity : endedAt - acceptedAt;
  }

  readJobIds(): readonly JobId[] {
    return [...this.jobs.keys()];
  }

  readStartCount(task: TaskName): number {
    return this.startCounts.get(task) ?? 0;
  }

  /** Ends the lives on some share of the machines from outside. */
  applyOutsideCrash(share: number): void {
    for (const machine of this.machines) {
      if (machine.life !== undefined && this.random() < share) {
        this.stopLife(machine);
      }
    }
  }

  /** Lets time pass. `handleTick` is called at each step. */
  start(forMs: number, handleTick: (now: number) => void = () => undefined): void {
    const until = this.now + forMs;
    while (this.now < until) {
      this.now += STEP_MS;
      handleTick(this.now);
      this.applyMachines();
      this.applyUnanswered();
      if (this.now % LOOK_EVERY_MS === 0) {
        this.sendLooks();
      }
      const { leaderEveryMs, leadersUntilMs = Infinity } = this.options;
      const isChanging = leaderEveryMs !== undefined && this.now < leadersUntilMs;
      if (isChanging && this.now % leaderEveryMs === 0) {
        this.startLeader();
      }
      this.dispatcher.handleTick(this.now);
      this.dispatcher.placeWaiting(this.now, this.now);
      this.applyEffects();
    }
  }

  private startLeader(): void {
    this.dispatcher = new Dispatcher({
      earlierLeasesEndAt: this.now + LEASE_BOUND_MS,
      getDefinition: (id) => this.jobs.get(id)?.definition,
    });
    this.unanswered.length = 0;
    this.looked.clear();
    for (const machine of this.machines) {
      if (machine.life !== undefined) {
        this.dispatcher.handleEndpointProfile(machine.life.profile);
        this.looked.set(machine.life.profile.incarnation, machine);
      }
    }
    // Records of lives that are over stay until they lapse.
    for (const id of this.leavesAt.keys()) {
      const machine = this.machines[Number(/^i-(\d+)/.exec(id)![1])]!;
      this.dispatcher.handleEndpointProfile(this.createLifeProfile(machine, id));
      this.looked.set(id, machine);
    }
    for (const { definition } of this.jobs.values()) {
      this.dispatcher.handleJob(definition, this.readProgress(definition), this.now);
    }
  }

  private readProgress(definition: JobDefinition): JobProgress {
    const text = this.log.get(definition.id);
    return text === undefined ? new JobProgress(definition) : parseProgress(definition, text)!;
  }

  private createLifeProfile(machine: Machine, life: EndpointIncarnation): EndpointProfile {
    const capacity = { cpuMillis: this.options.cpuMillis, memoryMb: 100_000, accelerators: 0 };
    const id = endpointIncarnations.readEndpoint(life);
    return createProfile(id, { incarnation: life, capacity, address: `machine-${machine.index}:80` });
  }

  private startLife(machine: Machine): void {
    machine.lifeCount += 1;
    const separator = this.options.keepsIds === true ? '@' : '-';
    const id = toId<EndpointIncarnation>(`i-${machine.index}${separator}${machine.lifeCount}`);
    this.handleRecordReplaced(id);
    const profile = this.createLifeProfile(machine, id);
    machine.life = { profile, runs: new Map(), ends: [], endCount: 0 };
    if (machine.lifeCount > 1) {
      this.dispatcher.handleEndpointProfile(profile);
      this.looked.set(id, machine);
    }
  }

  /** The record of a new life stands in the place of that of the one before under its id. */
  private handleRecordReplaced(life: EndpointIncarnation): void {
    for (const earlier of this.leavesAt.keys()) {
      if (endpointIncarnations.readEndpoint(earlier) === endpointIncarnations.readEndpoint(life)) {
        this.leavesAt.delete(earlier);
        this.dispatcher.handleEndpointDeregistered(earlier);
      }
    }
  }

  private stopLife(machine: Machine): void {
    const { incarnation: id } = machine.life!.profile;
    machine.life = undefined;
    machine.backAt = this.now + this.options.returnMs;
    this.leavesAt.set(id, this.now + RECORD_LAPSE_MS);
    this.darkSince.set(id, this.now);
  }

  private applyMachines(): void {
    for (const machine of this.machines) {
      if (machine.life === undefined) {
        if (this.now >= machine.backAt) {
          this.startLife(machine);
        }
        continue;
      }
      this.applyLife(machine, machine.life);
    }
    for (const [id, at] of this.leavesAt) {
      if (this.now >= at) {
        this.leavesAt.delete(id);
        this.dispatcher.handleEndpointDeregistered(id);
      }
    }
  }

  private applyLife(machine: Machine, life: Life): void {
    for (const run of [...life.runs.values()]) {
      if (this.now >= run.crashesAt) {
        this.crashCount += 1;
        this.crashCounts.set(run.task, (this.crashCounts.get(run.task) ?? 0) + 1);
        this.stopLife(machine);
        return;
      }
      if (this.now >= run.endsAt) {
        this.recordEnd(life, run.task, 'done');
      }
    }
  }

  private recordEnd(life: Life, task: TaskName, how: EndedTaskStatus['how']): void {
    const run = life.runs.get(task)!;
    life.runs.delete(task);
    life.endCount += 1;
    life.ends.push({ number: life.endCount, task, run: run.run, how, checkpoint: '' });
  }

  private sendLooks(): void {
    for (const [id, machine] of [...this.looked]) {
      const { life } = machine;
      if (life?.profile.incarnation === id) {
        this.handleLookAnswered(life);
      } else if (life !== undefined) {
        this.looked.delete(id);
        const next = this.options.keepsIds === true ? life.profile.incarnation : undefined;
        this.dispatcher.handleIncarnationEnd(id, this.now, next);
      } else if (this.options.isDark !== true || this.now - this.darkSince.get(id)! >= DARK_NOTICE_MS) {
        this.dispatcher.handleUnreachable(id, this.now);
        this.checkAwaited(id);
      }
    }
  }

  /** An endpoint without a record is looked at only while that may tell something. */
  private checkAwaited(id: EndpointIncarnation): void {
    const runCount = this.dispatcher.getEndpointState(id)?.countRuns() ?? 0;
    if (!this.leavesAt.has(id) && runCount === 0 && !this.dispatcher.isCrashUnconfirmed(id, this.now)) {
      this.looked.delete(id);
    }
  }

  private handleLookAnswered(life: Life): void {
    const { incarnation: id } = life.profile;
    const running = [...life.runs.values()].map(({ task, run, startedAt, endsAt }) => ({
      task,
      run,
      checkpoint: '',
      percent: Math.floor(((this.now - startedAt) * 100) / (endsAt - startedAt)),
      load: 0,
    }));
    const ended = life.ends;
    life.ends = [];
    this.dispatcher.handleStatus({ endpoint: id, running, ended, sentAt: this.now }, this.now, this.now);
    this.dispatcher.getEndpointState(id)?.recordLease(this.now + LEASE_BOUND_MS);
  }

  private applyEffects(): void {
    const starts: StartEffect[] = [];
    for (const effect of this.dispatcher.takeEffects()) {
      if (effect.kind === 'record') {
        this.writeProgress(effect.job);
      } else if (effect.kind === 'start') {
        starts.push(effect);
      } else if (effect.kind === 'stop') {
        this.sendStop(effect);
      } else if (effect.kind === 'tell') {
        this.lines.push({ at: this.now, ...effect });
      }
    }
    starts.forEach((effect) => this.sendStart(effect));
  }

  private writeProgress(id: JobId): void {
    const job = this.dispatcher.getJob(id);
    if (job === undefined) {
      return;
    }
    this.log.set(id, formatProgress(job.definition, job.progress));
    const figures = this.jobs.get(id)!;
    if (job.progress.isEnded()) {
      figures.endedAt ??= this.now;
    }
  }

  private sendStart(effect: StartEffect): void {
    if (!this.dispatcher.handleStartRecorded(effect, this.now)) {
      return;
    }
    const { task, run } = effect.command;
    this.dispatcher.getEndpointState(effect.endpoint)?.recordLease(this.now + LEASE_BOUND_MS);
    const life = this.machines.find((machine) => machine.life?.profile.incarnation === effect.endpoint)?.life;
    if (life === undefined) {
      this.unanswered.push({ at: this.now + ORDER_TIMEOUT_MS, effect });
      return;
    }
    const { behaviour } = this.jobs.get(effect.job)!;
    const { runMs, crashAfterMs = Infinity } = behaviour;
    life.runs.set(task, {
      task,
      run,
      startedAt: this.now,
      endsAt: this.now + runMs,
      crashesAt: this.now + crashAfterMs,
    });
    this.startCounts.set(task, this.readStartCount(task) + 1);
    if ((this.crashCounts.get(task) ?? 0) >= CRASHES_BORNE) {
      this.startsAfterThird.set(task, (this.startsAfterThird.get(task) ?? 0) + 1);
    }
    if (crashAfterMs < LEASE_MS && this.options.isAnswerLost === true) {
      this.unanswered.push({ at: this.now + ORDER_TIMEOUT_MS, effect });
    } else {
      this.dispatcher.handleStartResult(effect.endpoint, task, run, { kind: 'done' }, this.now);
    }
  }

  private applyUnanswered(): void {
    const due = this.unanswered.filter(({ at }) => at <= this.now);
    this.unanswered.splice(0, this.unanswered.length, ...this.unanswered.filter(({ at }) => at > this.now));
    for (const { effect } of due) {
      const { endpoint, command: order } = effect;
      const answer = { kind: 'unanswered', detail: 'lost' } as const;
      this.dispatcher.handleStartResult(endpoint, order.task, order.run, answer, this.now);
    }
  }

  private sendStop({ endpoint, task, run }: Extract<DispatchEffect, { kind: 'stop' }>): void {
    const life = this.machines.find((machine) => machine.life?.profile.incarnation === endpoint)?.life;
    if (life === undefined) {
      return;
    }
    if (life.runs.get(task)?.run === run) {
      this.recordEnd(life, task, 'stopped');
    }
    this.dispatcher.handleStopResult(endpoint, task, run, { kind: 'done' }, this.now);
  }
}
