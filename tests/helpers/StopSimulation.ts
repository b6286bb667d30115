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

interface SimulatedRun {
  readonly task: TaskName;
  readonly run: number;
  readonly job: JobDefinition;
  /** Total work of the task, in milliseconds. */
  readonly workMs: number;
  readonly isSaving: boolean;
  readonly isGang: boolean;
  readonly cores: number;
  savedMs: number;
  doneMs: number;
  stopAt: number | undefined;
}

interface SimulatedEndpoint {
  readonly profile: EndpointProfile;
  readonly runs: Map<string, SimulatedRun>;
  ended: EndedTaskStatus[];
  nextPollAt: number;
  endCount: number;
  drainDeadline: number;
}

interface SimulationOptions {
  readonly stopChoice: StopPolicyName;
  readonly endpoints: number;
  /** Returns the total work of a run, in milliseconds. */
  readonly getWorkMs: (job: JobDefinition, task: TaskName, run: number) => number;
  readonly getStopMs: (endpoint: number, now: number) => number;
  /** Returns whether responses to starts miss their time limit. The starts are carried out all the same. */
  readonly isResponseLate?: (now: number) => boolean;
  /** Returns whether an endpoint fails every run. */
  readonly isFailing?: (endpoint: number, now: number) => boolean;
}

const TICK_MS = 20;
const POLL_INTERVAL_MS = 400;
/** Work between two checkpoints. */
const CHECKPOINT_INTERVAL_MS = 1000;
const LATE_RESPONSE_MS = 120;
const DISPATCHER_TICK_MS = 100;
const CAPACITY = { cpuMillis: 64_000, memoryMb: 128_000, accelerators: 0 };

/** Simulated cluster of endpoints of 64 cores on virtual time. It carries out the dispatcher's commands and counts lost work. */
export class StopSimulation {
  now = 0;
  /** Unsaved work of stopped and lost runs, in core-milliseconds; failed runs don't count. */
  lostCoreMs = 0;
  stops = 0;
  failures = 0;
  /** Highest utilization of an endpoint's processors; above 1 it was overcommitted. */
  maxUtilization = 0;
  readonly stopsByTask = new Map<TaskName, number>();
  readonly finishedAt = new Map<JobId, number>();
  readonly progress = new Map<JobId, JobProgress>();
  private readonly jobs = new Map<JobId, JobDefinition>();
  private readonly endpoints = new Map<EndpointIncarnation, SimulatedEndpoint>();
  private readonly delayed: { readonly at: number; readonly act: () => void }[] = [];
  readonly dispatcher: Dispatcher;

  constructor(private readonly options: SimulationOptions) {
    const { stopChoice } = options;
    this.dispatcher = new Dispatcher({
      getDefinition: (id) => this.jobs.get(id),
      earlierLeasesEndAt: 0,
      stopChoice,
    });
    for (let number = 0; number < options.endpoints; number += 1) {
      const profile = createProfile(`i-${number}`, { capacity: CAPACITY });
      this.endpoints.set(profile.incarnation, {
        profile,
        runs: new Map(),
        ended: [],
        nextPollAt: 0,
        endCount: 0,
        drainDeadline: Infinity,
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

  /** Drains an endpoint. It ends after `remainingMs` with all runs that are left. */
  startDraining(number: number, remainingMs: number): void {
    const endpoint = [...this.endpoints.values()][number]!;
    endpoint.drainDeadline = this.now + remainingMs;
    this.dispatcher.handleEndpointProfile({ ...endpoint.profile, isDraining: true, minDrainMs: remainingMs });
  }

  runUntil(untilMs: number): void {
    while (this.now < untilMs) {
      this.now += TICK_MS;
      this.delayed
        .splice(0)
        .forEach((entry) => (entry.at <= this.now ? entry.act() : this.delayed.push(entry)));
      [...this.endpoints.values()].forEach((endpoint, number) => this.runEndpoint(endpoint, number));
      if (this.now % DISPATCHER_TICK_MS === 0) {
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

  countRunsOn(number: number): number {
    return [...this.endpoints.values()][number]!.runs.size;
  }

  private runEndpoint(endpoint: SimulatedEndpoint, number: number): void {
    const { runs, profile } = endpoint;
    if (this.now >= endpoint.drainDeadline) {
      runs.forEach((run) => this.recordLoss(run, run.savedMs));
      this.endpoints.delete(profile.incarnation);
      this.dispatcher.handleIncarnationEnd(profile.incarnation, this.now);
      return;
    }
    for (const run of runs.values()) {
      if (!run.isGang || this.isGangComplete(run)) {
        run.doneMs += TICK_MS;
        run.savedMs = run.isSaving && run.doneMs % CHECKPOINT_INTERVAL_MS === 0 ? run.doneMs : run.savedMs;
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
    this.maxUtilization = Math.max(this.maxUtilization, usedMillis / CAPACITY.cpuMillis);
    if (endpoint.ended.length > 0 || this.now >= endpoint.nextPollAt) {
      this.sendStatus(endpoint);
    }
  }

  private isGangComplete(run: SimulatedRun): boolean {
    return this.listMembers(run).length === run.job.steps[0]!.count;
  }

  private listMembers(
    run: SimulatedRun,
  ): readonly { readonly endpoint: SimulatedEndpoint; readonly member: SimulatedRun }[] {
    return [...this.endpoints.values()].flatMap((endpoint) =>
      [...endpoint.runs.values()]
        .filter((other) => other.job === run.job && other.run === run.run)
        .map((member) => ({ endpoint, member })),
    );
  }

  private recordLoss(run: SimulatedRun, savedMs: number): void {
    this.lostCoreMs += (run.doneMs - savedMs) * run.cores;
  }

  private recordEnd(
    endpoint: SimulatedEndpoint,
    run: SimulatedRun,
    how: EndedTaskStatus['how'],
    savedMs: number,
  ): void {
    endpoint.runs.delete(`${run.task}#${run.run}`);
    endpoint.endCount += 1;
    const checkpoint = savedMs > 0 ? String(savedMs) : '';
    endpoint.ended.push({ number: endpoint.endCount, task: run.task, run: run.run, how, checkpoint });
    if (run.isGang && how !== 'broken') {
      for (const { endpoint: other, member } of this.listMembers(run)) {
        if (how !== 'done') {
          this.recordLoss(member, member.savedMs);
        }
        this.recordEnd(other, member, how === 'done' ? 'done' : 'broken', member.savedMs);
      }
    }
  }

  private sendStatus(endpoint: SimulatedEndpoint): void {
    const running = [...endpoint.runs.values()].map(({ task, run, doneMs, workMs, savedMs }) => ({
      task,
      run,
      checkpoint: savedMs > 0 ? String(savedMs) : '',
      percent: Math.min(99, Math.floor((doneMs / workMs) * 100)),
      load: 0,
    }));
    const ended = endpoint.ended.splice(0);
    endpoint.nextPollAt = this.now + POLL_INTERVAL_MS;
    const { incarnation } = endpoint.profile;
    this.dispatcher.getEndpointState(incarnation)?.recordLease(this.now + 10_000);
    this.dispatcher.handleStatus(
      { endpoint: incarnation, running, ended, pollSentAt: this.now },
      this.now,
      this.now,
    );
  }

  private handleEffect(effect: DispatchEffect): void {
    if (effect.kind === 'start') {
      this.handleStart(effect);
    } else if (effect.kind === 'stop') {
      this.handleStop(effect);
    } else if (effect.kind === 'look') {
      const endpoint = this.endpoints.get(effect.endpoint);
      this.delayed.push({
        at: this.now + TICK_MS,
        act: () => endpoint !== undefined && this.sendStatus(endpoint),
      });
    }
  }

  private handleStart(effect: StartEffect): void {
    const endpoint = this.endpoints.get(effect.endpoint);
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
      workMs: this.options.getWorkMs(job, task, run),
      isSaving: isCheckpointing,
      isGang,
      cores: demand.cpuMillis / 1000,
      savedMs,
      doneMs: savedMs,
      stopAt: undefined,
    });
    const isLate = this.options.isResponseLate?.(this.now) === true;
    const result = isLate ? ({ kind: 'unanswered', detail: '' } as const) : ({ kind: 'done' } as const);
    const act = (): void => this.dispatcher.handleStartResult(effect.endpoint, task, run, result, this.now);
    this.delayed.push({ at: this.now + (isLate ? LATE_RESPONSE_MS : 0), act });
  }

  private handleStop(effect: Extract<DispatchEffect, { kind: 'stop' }>): void {
    const endpoint = this.endpoints.get(effect.endpoint);
    const run = endpoint?.runs.get(`${effect.task}#${effect.run}`);
    const number = [...this.endpoints.keys()].indexOf(effect.endpoint);
    if (run !== undefined) {
      this.stops += 1;
      this.stopsByTask.set(run.task, (this.stopsByTask.get(run.task) ?? 0) + 1);
      run.stopAt ??= this.now + this.options.getStopMs(number, this.now);
    }
    this.dispatcher.handleStopResult(effect.endpoint, effect.task, effect.run, { kind: 'done' }, this.now);
  }
}
