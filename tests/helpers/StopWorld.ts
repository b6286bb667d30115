import type { DispatchEffect } from '../../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { EndpointProfile } from '../../packages/dispatch/endpoints/EndpointProfile';
import type { StopPolicyName } from '../../packages/dispatch/stops/StopPolicyName';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import type { JobId } from '../../packages/jobs/JobId';
import { JobProgress } from '../../packages/jobs/JobProgress';
import type { TaskName } from '../../packages/jobs/TaskName';
import { createProfile } from './createProfile';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

interface WorldRun {
  readonly task: TaskName;
  readonly run: number;
  readonly job: JobDefinition;
  /** Work of the task, in milliseconds. */
  readonly workMs: number;
  readonly isSaving: boolean;
  readonly isGang: boolean;
  readonly cores: number;
  savedMs: number;
  doneMs: number;
  stopAt: number | undefined;
}

interface WorldEndpoint {
  readonly profile: EndpointProfile;
  readonly runs: Map<string, WorldRun>;
  ended: EndedTaskStatus[];
  lookAt: number;
  endCount: number;
  leavesAt: number;
}

interface WorldOptions {
  readonly stopChoice: StopPolicyName;
  readonly endpoints: number;
  /** Work of a run in milliseconds. */
  readonly readWorkMs: (job: JobDefinition, task: TaskName, run: number) => number;
  readonly stopMs: (endpoint: number, now: number) => number;
  /** True when the answer to a start comes too late, though it was carried out. */
  readonly isAnswerLate?: (now: number) => boolean;
  /** True while an endpoint fails all that it starts. */
  readonly isFailing?: (endpoint: number, now: number) => boolean;
}

const TICK_MS = 20;
const LOOK_MS = 400;
/** Of work between checkpoints. */
const CHECKPOINT_MS = 1000;
const ANSWER_MS = 120;
const DISPATCH_TICK_MS = 100;
const CAPACITY = { cpuMillis: 64_000, memoryMb: 128_000, accelerators: 0 };

/** A fleet of endpoints of 64 cores that carries out what the dispatcher says, tick by tick, and counts what is lost. */
export class StopWorld {
  now = 0;
  /** Core-milliseconds of work that ended unsaved, but for that of runs which failed by themselves. */
  lostCoreMs = 0;
  stops = 0;
  failures = 0;
  /** Most processors in use at once by the capacity of the endpoint; above 1 room was given away twice. */
  fullest = 0;
  readonly stopsByTask = new Map<TaskName, number>();
  readonly finishedAt = new Map<JobId, number>();
  readonly progress = new Map<JobId, JobProgress>();
  private readonly jobs = new Map<JobId, JobDefinition>();
  private readonly fleet = new Map<EndpointIncarnation, WorldEndpoint>();
  private readonly later: { readonly at: number; readonly act: () => void }[] = [];
  readonly dispatcher: Dispatcher;

  constructor(private readonly options: WorldOptions) {
    const { stopChoice } = options;
    this.dispatcher = new Dispatcher({
      getDefinition: (id) => this.jobs.get(id),
      earlierLeasesEndAt: 0,
      stopChoice,
    });
    for (let number = 0; number < options.endpoints; number += 1) {
      const profile = createProfile(`i-${number}`, { capacity: CAPACITY });
      this.fleet.set(profile.incarnation, {
        profile,
        runs: new Map(),
        ended: [],
        lookAt: 0,
        endCount: 0,
        leavesAt: Infinity,
      });
      this.dispatcher.handleEndpointProfile(profile);
    }
  }

  sendJob(definition: JobDefinition): void {
    const progress = new JobProgress(definition);
    this.jobs.set(definition.id, definition);
    this.progress.set(definition.id, progress);
    this.dispatcher.handleJob(definition, progress, this.now);
  }

  /** An endpoint says that it drains, and ends after some milliseconds with all that runs there. */
  startLeaving(number: number, remainingMs: number): void {
    const endpoint = [...this.fleet.values()][number]!;
    endpoint.leavesAt = this.now + remainingMs;
    this.dispatcher.handleEndpointProfile({ ...endpoint.profile, isDraining: true, remainingMs });
  }

  applyTime(untilMs: number): void {
    while (this.now < untilMs) {
      this.now += TICK_MS;
      this.later.splice(0).forEach((entry) => (entry.at <= this.now ? entry.act() : this.later.push(entry)));
      [...this.fleet.values()].forEach((endpoint, number) => this.applyWork(endpoint, number));
      if (this.now % DISPATCH_TICK_MS === 0) {
        this.dispatcher.handleTick(this.now);
      }
      this.dispatcher.placeWaiting(this.now, this.now);
      this.dispatcher.takeEffects().forEach((effect) => this.handleEffect(effect));
      for (const [id, progress] of this.progress) {
        if (progress.isEnded() && !this.finishedAt.has(id)) {
          this.finishedAt.set(id, this.now);
        }
      }
    }
  }

  readRunningOn(number: number): number {
    return [...this.fleet.values()][number]!.runs.size;
  }

  private applyWork(endpoint: WorldEndpoint, number: number): void {
    const { runs, profile } = endpoint;
    if (this.now >= endpoint.leavesAt) {
      runs.forEach((run) => this.recordLoss(run, run.savedMs));
      this.fleet.delete(profile.incarnation);
      this.dispatcher.handleIncarnationEnd(profile.incarnation, this.now);
      return;
    }
    for (const run of runs.values()) {
      if (!run.isGang || this.isWhole(run)) {
        run.doneMs += TICK_MS;
        run.savedMs = run.isSaving && run.doneMs % CHECKPOINT_MS === 0 ? run.doneMs : run.savedMs;
      }
      if (run.stopAt !== undefined && this.now >= run.stopAt) {
        const saved = run.isSaving ? run.doneMs : 0;
        this.recordLoss(run, saved);
        this.recordEnd(endpoint, run, 'stopped', saved);
      } else if (this.options.isFailing?.(number, this.now) === true) {
        this.failures += 1;
        this.recordEnd(endpoint, run, 'failed', run.savedMs);
      } else if (run.doneMs >= run.workMs) {
        this.recordEnd(endpoint, run, 'done', 0);
      }
    }
    const usedMillis = [...runs.values()].reduce((sum, { cores }) => sum + cores * 1000, 0);
    this.fullest = Math.max(this.fullest, usedMillis / CAPACITY.cpuMillis);
    if (endpoint.ended.length > 0 || this.now >= endpoint.lookAt) {
      this.sendLook(endpoint);
    }
  }

  private isWhole(run: WorldRun): boolean {
    return this.readMembers(run).length === run.job.steps[0]!.count;
  }

  private readMembers(
    run: WorldRun,
  ): readonly { readonly endpoint: WorldEndpoint; readonly member: WorldRun }[] {
    return [...this.fleet.values()].flatMap((endpoint) =>
      [...endpoint.runs.values()]
        .filter((other) => other.job === run.job && other.run === run.run)
        .map((member) => ({ endpoint, member })),
    );
  }

  private recordLoss(run: WorldRun, savedMs: number): void {
    this.lostCoreMs += (run.doneMs - savedMs) * run.cores;
  }

  private recordEnd(
    endpoint: WorldEndpoint,
    run: WorldRun,
    how: EndedTaskStatus['how'],
    savedMs: number,
  ): void {
    endpoint.runs.delete(`${run.task}#${run.run}`);
    endpoint.endCount += 1;
    const checkpoint = savedMs > 0 ? String(savedMs) : '';
    endpoint.ended.push({ number: endpoint.endCount, task: run.task, run: run.run, how, checkpoint });
    if (run.isGang && how !== 'broken') {
      for (const { endpoint: other, member } of this.readMembers(run)) {
        if (how !== 'done') {
          this.recordLoss(member, member.savedMs);
        }
        this.recordEnd(other, member, how === 'done' ? 'done' : 'broken', member.savedMs);
      }
    }
  }

  private sendLook(endpoint: WorldEndpoint): void {
    const running = [...endpoint.runs.values()].map(({ task, run, doneMs, workMs, savedMs }) => ({
      task,
      run,
      checkpoint: savedMs > 0 ? String(savedMs) : '',
      percent: Math.min(99, Math.floor((doneMs / workMs) * 100)),
      load: 0,
    }));
    const ended = endpoint.ended.splice(0);
    endpoint.lookAt = this.now + LOOK_MS;
    const { incarnation: life } = endpoint.profile;
    this.dispatcher.getEndpointState(life)?.recordLease(this.now + 10_000);
    this.dispatcher.handleStatus({ endpoint: life, running, ended, sentAt: this.now }, this.now, this.now);
  }

  private handleEffect(effect: DispatchEffect): void {
    if (effect.kind === 'start') {
      this.handleStart(effect);
    } else if (effect.kind === 'stop') {
      this.handleStop(effect);
    } else if (effect.kind === 'look') {
      const endpoint = this.fleet.get(effect.endpoint);
      this.later.push({
        at: this.now + TICK_MS,
        act: () => endpoint !== undefined && this.sendLook(endpoint),
      });
    }
  }

  private handleStart(effect: StartEffect): void {
    const endpoint = this.fleet.get(effect.endpoint);
    if (!this.dispatcher.handleStartRecorded(effect, this.now) || endpoint === undefined) {
      return;
    }
    const { task, run, checkpoint } = effect.command;
    const job = this.jobs.get(effect.job)!;
    const { isCheckpointing, isGang, demand } = job.steps[0]!;
    const savedMs = Number(checkpoint);
    endpoint.runs.set(`${task}#${run}`, {
      task,
      run,
      job,
      workMs: this.options.readWorkMs(job, task, run),
      isSaving: isCheckpointing,
      isGang,
      cores: demand.cpuMillis / 1000,
      savedMs,
      doneMs: savedMs,
      stopAt: undefined,
    });
    const isLate = this.options.isAnswerLate?.(this.now) === true;
    const answer = isLate ? ({ kind: 'unanswered', detail: '' } as const) : ({ kind: 'done' } as const);
    const act = (): void => this.dispatcher.handleStartResult(effect.endpoint, task, run, answer, this.now);
    this.later.push({ at: this.now + (isLate ? ANSWER_MS : 0), act });
  }

  private handleStop(effect: Extract<DispatchEffect, { kind: 'stop' }>): void {
    const endpoint = this.fleet.get(effect.endpoint);
    const run = endpoint?.runs.get(`${effect.task}#${effect.run}`);
    const number = [...this.fleet.keys()].indexOf(effect.endpoint);
    if (run !== undefined) {
      this.stops += 1;
      this.stopsByTask.set(run.task, (this.stopsByTask.get(run.task) ?? 0) + 1);
      run.stopAt ??= this.now + this.options.stopMs(number, this.now);
    }
    this.dispatcher.handleStopResult(effect.endpoint, effect.task, effect.run, { kind: 'done' }, this.now);
  }
}
