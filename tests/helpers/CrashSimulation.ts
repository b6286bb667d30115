import { createRandom } from '../../packages/common/createRandom';
import type { Random } from '../../packages/common/Random';
import { toId } from '../../packages/common/toId';
import type { DispatchEffect } from '../../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { LiveJob } from '../../packages/dispatch/waiting/LiveJob';
import type { EndpointProfile } from '../../packages/dispatch/endpoints/EndpointProfile';
import { endpointIncarnations } from '../../packages/jobs/endpointIncarnations';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import { progressTexts } from '../../packages/jobs/progressTexts';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import type { JobId } from '../../packages/jobs/JobId';
import { JobProgress } from '../../packages/jobs/JobProgress';
import type { JobState } from '../../packages/jobs/JobState';
import { parseProgress } from '../../packages/jobs/parseProgress';
import type { TaskName } from '../../packages/jobs/TaskName';
import { createProfile } from './createProfile';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

/** What the tasks of a job do once they run: crash their endpoint after some milliseconds, or complete. */
export interface TaskBehaviour {
  readonly runMs: number;
  readonly crashAfterMs?: number;
}

interface CrashSimulationOptions {
  readonly seed: number;
  readonly endpoints: number;
  readonly cpuMillis: number;
  /** Time from a crash until the machine runs its next incarnation. */
  readonly restartMs: number;
  /** Endpoints restart under their ids, as another incarnation, rather than under a new id. */
  readonly isKeepingIds?: boolean;
  /** Crashed machines don't respond, rather than refuse connections. */
  readonly isUnresponsive?: boolean;
  /** The response to a start command is lost when the task crashes its endpoint. */
  readonly isResponseLost?: boolean;
  /** Interval at which another leader takes over, with the durable state. */
  readonly leaderChangeMs?: number;
  /** Time after which the leader doesn't change any more: each new one waits for the leases of earlier leaders. */
  readonly leaderChangesUntilMs?: number;
  /** Chance, checked at intervals, that the record of a running endpoint says that it drains; it leaves at the end of the time it promises to stay. */
  readonly drainChance?: number;
  /** Chance, checked at intervals, that the log takes no writes for a while. */
  readonly logOutageChance?: number;
  /** Time after which no drain and no outage of the log begins. */
  readonly troublesUntilMs?: number;
}

interface SimulatedRun {
  readonly task: TaskName;
  readonly run: number;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly crashesAt: number;
}

/** A machine, which runs one incarnation of an endpoint at a time. */
interface Machine {
  readonly index: number;
  incarnationCount: number;
  /** Undefined while the machine is down. */
  incarnation: Incarnation | undefined;
  restartsAt: number;
}

interface Incarnation {
  profile: EndpointProfile;
  /** Time at which the incarnation leaves by plan; Infinity unless it drains. */
  leavesAt: number;
  readonly runs: Map<TaskName, SimulatedRun>;
  ends: EndedTaskStatus[];
  endCount: number;
}

interface SubmittedJob {
  readonly definition: JobDefinition;
  readonly behaviour: TaskBehaviour;
  readonly acceptedAt: number;
  endedAt: number | undefined;
}

const STEP_MS = 10;
const POLL_INTERVAL_MS = 50;
const POLL_TIMEOUT_MS = 700;
const LEASE_MS = 4000;
const MAX_LEASE_MS = 4370;
/** Time from a crash until the endpoint's record expires. */
const RECORD_EXPIRY_MS = 4500;
const COMMAND_TIMEOUT_MS = 120;
const TOLERATED_CRASHES = 3;
/** Interval at which drains and outages of the log may begin. */
const TROUBLE_INTERVAL_MS = 100;
/** Time for which a draining endpoint promises to stay. */
const DRAIN_MS = 1000;
const MIN_LOG_OUTAGE_MS = 200;
const MAX_LOG_OUTAGE_MS = 1700;
/** Outage of writes to the log above which starts are held. */
const START_HOLD_OUTAGE_MS = 1000;
const TROUBLE_SEED_OFFSET = 104_729;

/**
 * A cluster on virtual time whose endpoints crash because of their tasks or external causes, and restart at the same address. Drives the dispatcher
 * as `LeaderController` does: a start command is sent once its record is durable, the running incarnation responds to polls, and a new leader
 * recovers its state from the log.
 */
export class CrashSimulation {
  /** Number of starts, by task. */
  readonly startCounts = new Map<TaskName, number>();
  /** Number of starts after a task's third crash, by task. */
  readonly startsAfterThirdCrash = new Map<TaskName, number>();
  /** Number of incarnations that a task has crashed, by task. */
  private readonly crashCounts = new Map<TaskName, number>();
  /** Number of incarnations that tasks have crashed. */
  crashCount = 0;
  /** Log lines of the leaders. */
  readonly logLines: {
    readonly at: number;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }[] = [];
  private readonly random: Random;
  /** Source of the drains and outages of the log, apart from `random` so that a seed plays the same with and without them. */
  private readonly troubleRandom: Random;
  private now = 0;
  /** Time at which the log takes writes again. */
  private logSilentUntil = -Infinity;
  private logSilentSince = -Infinity;
  /** Jobs whose progress the leader has to write, and starts that wait for that, while the log takes no writes. */
  private readonly unwrittenJobs = new Map<JobId, LiveJob>();
  private unsentStarts: StartEffect[] = [];
  private dispatcher!: Dispatcher;
  private readonly machines: Machine[] = [];
  private readonly jobs = new Map<JobId, SubmittedJob>();
  private readonly recordedProgress = new Map<JobId, string>();
  /** Incarnations that the leader polls, with their machines. */
  private readonly polledIncarnations = new Map<EndpointIncarnation, Machine>();
  /** Time at which the record of a crashed incarnation expires. */
  private readonly recordExpiresAt = new Map<EndpointIncarnation, number>();
  /** Start commands without a response, with the time of their timeout. */
  private readonly pendingTimeouts: { readonly at: number; readonly effect: StartEffect }[] = [];
  /** Time at which an incarnation crashed. */
  private readonly crashedAt = new Map<EndpointIncarnation, number>();
  /** Incarnations whose records say that they drain. */
  private readonly drainingIncarnations = new Set<EndpointIncarnation>();

  constructor(private readonly options: CrashSimulationOptions) {
    this.random = createRandom(options.seed);
    this.troubleRandom = createRandom(options.seed + TROUBLE_SEED_OFFSET);
    for (let index = 0; index < options.endpoints; index += 1) {
      const machine: Machine = { index, incarnationCount: 0, incarnation: undefined, restartsAt: 0 };
      this.machines.push(machine);
      this.startIncarnation(machine);
    }
    this.startLeader();
  }

  /** Submits a job. */
  handleJob(definition: JobDefinition, behaviour: TaskBehaviour): void {
    this.jobs.set(definition.id, { definition, behaviour, acceptedAt: this.now, endedAt: undefined });
    this.dispatcher.handleJob(definition, new JobProgress(definition), this.now);
  }

  getNow(): number {
    return this.now;
  }

  /** Returns the highest number of starts of one task after its third crash. */
  computeMaxStartsAfterThirdCrash(): number {
    return Math.max(0, ...this.startsAfterThirdCrash.values());
  }

  getState(id: JobId): JobState {
    return this.readProgress(this.jobs.get(id)!.definition).getState();
  }

  /** Returns the time from acceptance to the end of a job; Infinity while it has not ended. */
  getCompletionMs(id: JobId): number {
    const { acceptedAt, endedAt } = this.jobs.get(id)!;
    return endedAt === undefined ? Infinity : endedAt - acceptedAt;
  }

  listJobIds(): readonly JobId[] {
    return [...this.jobs.keys()];
  }

  countStarts(task: TaskName): number {
    return this.startCounts.get(task) ?? 0;
  }

  /** Crashes the incarnations on a random share of the machines. */
  runExternalCrash(share: number): void {
    for (const machine of this.machines) {
      if (machine.incarnation !== undefined && this.random() < share) {
        this.stopIncarnation(machine);
      }
    }
  }

  /** Advances the time, and calls `handleTick` at each step. */
  run(forMs: number, handleTick: (now: number) => void = () => undefined): void {
    const until = this.now + forMs;
    while (this.now < until) {
      this.now += STEP_MS;
      handleTick(this.now);
      this.startTroubles();
      this.updateMachines();
      this.handleTimeouts();
      if (this.now % POLL_INTERVAL_MS === 0) {
        this.sendPolls();
      }
      const { leaderChangeMs, leaderChangesUntilMs = Infinity } = this.options;
      const isChanging = leaderChangeMs !== undefined && this.now < leaderChangesUntilMs;
      if (isChanging && this.now % leaderChangeMs === 0) {
        this.startLeader();
      }
      this.dispatcher.handleTick(this.now);
      this.placeUnlessHeld();
      this.applyEffects();
    }
  }

  /** Starts drains and outages of the log, each by chance. */
  private startTroubles(): void {
    const { drainChance = 0, logOutageChance = 0, troublesUntilMs = Infinity } = this.options;
    if (this.now % TROUBLE_INTERVAL_MS !== 0 || this.now >= troublesUntilMs) {
      return;
    }
    for (const machine of drainChance > 0 ? this.machines : []) {
      if (this.troubleRandom() < drainChance && machine.incarnation !== undefined) {
        this.startDrain(machine, machine.incarnation);
      }
    }
    if (logOutageChance > 0 && this.troubleRandom() < logOutageChance && !this.isLogSilent()) {
      this.logSilentSince = this.now;
      this.logSilentUntil =
        this.now + MIN_LOG_OUTAGE_MS + this.troubleRandom() * (MAX_LOG_OUTAGE_MS - MIN_LOG_OUTAGE_MS);
    }
  }

  private startDrain(machine: Machine, incarnation: Incarnation): void {
    if (incarnation.leavesAt !== Infinity) {
      return;
    }
    incarnation.leavesAt = this.now + DRAIN_MS;
    this.drainingIncarnations.add(incarnation.profile.incarnation);
    incarnation.profile = this.createIncarnationProfile(machine, incarnation.profile.incarnation);
    this.dispatcher.handleEndpointProfile(incarnation.profile);
  }

  private isLogSilent(): boolean {
    return this.now < this.logSilentUntil;
  }

  /** Runs a scheduling round; while the log has taken no writes for long, cancels the starts that wait for it instead. */
  private placeUnlessHeld(): void {
    if (this.isLogSilent() && this.now - this.logSilentSince > START_HOLD_OUTAGE_MS) {
      this.dispatcher.cancelUnrecordedStarts(this.now);
    } else {
      this.dispatcher.placeWaiting(this.now, this.now);
    }
  }

  private startLeader(): void {
    this.dispatcher = new Dispatcher({
      earlierLeasesEndAt: this.now + MAX_LEASE_MS,
      getDefinition: (id) => this.jobs.get(id)?.definition,
    });
    this.pendingTimeouts.length = 0;
    this.unwrittenJobs.clear();
    this.unsentStarts = [];
    this.polledIncarnations.clear();
    for (const machine of this.machines) {
      if (machine.incarnation !== undefined) {
        this.dispatcher.handleEndpointProfile(machine.incarnation.profile);
        this.polledIncarnations.set(machine.incarnation.profile.incarnation, machine);
      }
    }
    // Records of crashed incarnations stay until they expire.
    for (const id of this.recordExpiresAt.keys()) {
      const machine = this.machines[Number(/^i-(\d+)/.exec(id)![1])]!;
      this.dispatcher.handleEndpointProfile(this.createIncarnationProfile(machine, id));
      this.polledIncarnations.set(id, machine);
    }
    for (const { definition } of this.jobs.values()) {
      this.dispatcher.handleJob(definition, this.readProgress(definition), this.now);
    }
  }

  private readProgress(definition: JobDefinition): JobProgress {
    const text = this.recordedProgress.get(definition.id);
    return text === undefined ? new JobProgress(definition) : parseProgress(definition, { text: text })!;
  }

  private createIncarnationProfile(machine: Machine, incarnation: EndpointIncarnation): EndpointProfile {
    const capacity = { cpuMillis: this.options.cpuMillis, memoryMb: 100_000, accelerators: 0 };
    const id = endpointIncarnations.toEndpointId(incarnation);
    return createProfile(id, {
      incarnation,
      capacity,
      address: `machine-${machine.index}:80`,
      ...(this.drainingIncarnations.has(incarnation) ? { isDraining: true, minDrainMs: DRAIN_MS } : {}),
    });
  }

  private startIncarnation(machine: Machine): void {
    machine.incarnationCount += 1;
    const separator = this.options.isKeepingIds === true ? '@' : '-';
    const id = toId<EndpointIncarnation>(`i-${machine.index}${separator}${machine.incarnationCount}`);
    this.handleRecordReplaced(id);
    const profile = this.createIncarnationProfile(machine, id);
    machine.incarnation = { profile, leavesAt: Infinity, runs: new Map(), ends: [], endCount: 0 };
    if (machine.incarnationCount > 1) {
      this.dispatcher.handleEndpointProfile(profile);
      this.polledIncarnations.set(id, machine);
    }
  }

  /** Removes the record of the earlier incarnation with the same id, which the new one overwrites. */
  private handleRecordReplaced(incarnation: EndpointIncarnation): void {
    for (const earlier of this.recordExpiresAt.keys()) {
      if (endpointIncarnations.toEndpointId(earlier) === endpointIncarnations.toEndpointId(incarnation)) {
        this.recordExpiresAt.delete(earlier);
        this.dispatcher.handleEndpointDeregistered(earlier);
      }
    }
  }

  private stopIncarnation(machine: Machine): void {
    const { incarnation: id } = machine.incarnation!.profile;
    machine.incarnation = undefined;
    machine.restartsAt = this.now + this.options.restartMs;
    this.recordExpiresAt.set(id, this.now + RECORD_EXPIRY_MS);
    this.crashedAt.set(id, this.now);
  }

  private updateMachines(): void {
    for (const machine of this.machines) {
      if (machine.incarnation === undefined) {
        if (this.now >= machine.restartsAt) {
          this.startIncarnation(machine);
        }
        continue;
      }
      this.updateIncarnation(machine, machine.incarnation);
    }
    for (const [id, at] of this.recordExpiresAt) {
      if (this.now >= at) {
        this.recordExpiresAt.delete(id);
        this.dispatcher.handleEndpointDeregistered(id);
      }
    }
  }

  private updateIncarnation(machine: Machine, incarnation: Incarnation): void {
    if (this.now >= incarnation.leavesAt) {
      this.stopIncarnation(machine);
      return;
    }
    for (const run of [...incarnation.runs.values()]) {
      if (this.now >= run.crashesAt) {
        this.crashCount += 1;
        this.crashCounts.set(run.task, (this.crashCounts.get(run.task) ?? 0) + 1);
        this.stopIncarnation(machine);
        return;
      }
      if (this.now >= run.endsAt) {
        this.recordEnd(incarnation, run.task, 'done');
      }
    }
  }

  private recordEnd(incarnation: Incarnation, task: TaskName, how: EndedTaskStatus['how']): void {
    const run = incarnation.runs.get(task)!;
    incarnation.runs.delete(task);
    incarnation.endCount += 1;
    incarnation.ends.push({ number: incarnation.endCount, task, run: run.run, how, checkpoint: '' });
  }

  private sendPolls(): void {
    for (const [id, machine] of [...this.polledIncarnations]) {
      const { incarnation } = machine;
      if (incarnation?.profile.incarnation === id) {
        this.handlePollResponse(incarnation);
      } else if (incarnation !== undefined) {
        this.polledIncarnations.delete(id);
        const next = this.options.isKeepingIds === true ? incarnation.profile.incarnation : undefined;
        this.dispatcher.handleIncarnationEnd(id, this.now, next);
      } else if (
        this.options.isUnresponsive !== true ||
        this.now - this.crashedAt.get(id)! >= POLL_TIMEOUT_MS
      ) {
        this.dispatcher.handleEndpointUnreachable(id, this.now);
        this.removeIfUnneeded(id);
      }
    }
  }

  /** Stops polling an incarnation without a record or runs, unless a poll may still confirm that it has crashed. */
  private removeIfUnneeded(id: EndpointIncarnation): void {
    const runCount = this.dispatcher.getEndpointState(id)?.countRuns() ?? 0;
    if (
      !this.recordExpiresAt.has(id) &&
      runCount === 0 &&
      !this.dispatcher.isCrashUnconfirmed(id, this.now)
    ) {
      this.polledIncarnations.delete(id);
    }
  }

  private handlePollResponse(incarnation: Incarnation): void {
    const { incarnation: id } = incarnation.profile;
    const running = [...incarnation.runs.values()].map(({ task, run, startedAt, endsAt }) => ({
      task,
      run,
      checkpoint: '',
      percent: Math.floor(((this.now - startedAt) * 100) / (endsAt - startedAt)),
      load: 0,
    }));
    const ended = incarnation.ends;
    incarnation.ends = [];
    this.dispatcher.handleStatus({ endpoint: id, running, ended, pollSentAt: this.now }, this.now, this.now);
    this.dispatcher.getEndpointState(id)?.recordLease(this.now + MAX_LEASE_MS);
  }

  private applyEffects(): void {
    for (const effect of this.dispatcher.takeEffects()) {
      if (effect.kind === 'record' || effect.kind === 'start') {
        this.queueProgress(effect.job);
      }
      if (effect.kind === 'start') {
        this.unsentStarts.push(effect);
      } else if (effect.kind === 'stop') {
        this.sendStop(effect);
      } else if (effect.kind === 'tell') {
        this.logLines.push({ at: this.now, ...effect });
      }
    }
    if (!this.isLogSilent()) {
      this.writeEffects();
    }
  }

  private queueProgress(id: JobId): void {
    const job = this.dispatcher.getJob(id);
    if (job !== undefined) {
      this.unwrittenJobs.set(id, job);
    }
  }

  /** Writes the progress of changed jobs, then sends the starts that waited for that. */
  private writeEffects(): void {
    const starts = this.unsentStarts;
    this.unsentStarts = [];
    this.unwrittenJobs.forEach((job) => this.writeProgress(job));
    this.unwrittenJobs.clear();
    starts.forEach((effect) => this.sendStart(effect));
  }

  private writeProgress({ definition, progress }: LiveJob): void {
    this.recordedProgress.set(definition.id, progressTexts.formatWhole(definition, progress));
    const submitted = this.jobs.get(definition.id)!;
    if (progress.isEnded()) {
      submitted.endedAt ??= this.now;
    }
  }

  private sendStart(effect: StartEffect): void {
    if (!this.dispatcher.handleStartRecorded(effect, this.now)) {
      return;
    }
    const { task, run } = effect.command;
    this.dispatcher.getEndpointState(effect.endpoint)?.recordLease(this.now + MAX_LEASE_MS);
    const incarnation = this.machines.find(
      (machine) => machine.incarnation?.profile.incarnation === effect.endpoint,
    )?.incarnation;
    if (incarnation === undefined) {
      this.pendingTimeouts.push({ at: this.now + COMMAND_TIMEOUT_MS, effect });
      return;
    }
    const { behaviour } = this.jobs.get(effect.job)!;
    const { runMs, crashAfterMs = Infinity } = behaviour;
    incarnation.runs.set(task, {
      task,
      run,
      startedAt: this.now,
      endsAt: this.now + runMs,
      crashesAt: this.now + crashAfterMs,
    });
    this.startCounts.set(task, this.countStarts(task) + 1);
    if ((this.crashCounts.get(task) ?? 0) >= TOLERATED_CRASHES) {
      this.startsAfterThirdCrash.set(task, (this.startsAfterThirdCrash.get(task) ?? 0) + 1);
    }
    if (crashAfterMs < LEASE_MS && this.options.isResponseLost === true) {
      this.pendingTimeouts.push({ at: this.now + COMMAND_TIMEOUT_MS, effect });
    } else {
      this.dispatcher.handleStartResult(effect.endpoint, task, run, { kind: 'done' }, this.now);
    }
  }

  private handleTimeouts(): void {
    const due = this.pendingTimeouts.filter(({ at }) => at <= this.now);
    this.pendingTimeouts.splice(
      0,
      this.pendingTimeouts.length,
      ...this.pendingTimeouts.filter(({ at }) => at > this.now),
    );
    for (const { effect } of due) {
      const { endpoint, command } = effect;
      const result = { kind: 'unanswered', detail: 'lost' } as const;
      this.dispatcher.handleStartResult(endpoint, command.task, command.run, result, this.now);
    }
  }

  private sendStop({ endpoint, task, run }: Extract<DispatchEffect, { kind: 'stop' }>): void {
    const incarnation = this.machines.find(
      (machine) => machine.incarnation?.profile.incarnation === endpoint,
    )?.incarnation;
    if (incarnation === undefined) {
      return;
    }
    if (incarnation.runs.get(task)?.run === run) {
      this.recordEnd(incarnation, task, 'stopped');
    }
    this.dispatcher.handleStopResult(endpoint, task, run, { kind: 'done' }, this.now);
  }
}
