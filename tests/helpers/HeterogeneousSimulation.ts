import { createRandom } from '../../packages/common/createRandom';
import type { Random } from '../../packages/common/Random';
import type { DispatchEffect } from '../../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { EndpointProfile } from '../../packages/dispatch/endpoints/EndpointProfile';
import type { EndpointState } from '../../packages/dispatch/endpoints/EndpointState';
import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { SpeedPolicyName } from '../../packages/dispatch/placing/SpeedPolicyName';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import type { JobId } from '../../packages/jobs/JobId';
import { JobProgress } from '../../packages/jobs/JobProgress';
import type { JobQueue } from '../../packages/jobs/JobQueue';
import type { JobStep } from '../../packages/jobs/JobStep';
import type { TaskName } from '../../packages/jobs/TaskName';
import { createJobDefinition } from './createJobDefinition';
import { createProfile } from './createProfile';
import { createStep } from './createStep';

/** Jobs of one queue. */
export interface QueueLoad {
  readonly name: string;
  readonly priority: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Interval between jobs, in milliseconds. */
  readonly intervalMs: number;
  readonly count: number;
  readonly cpuMillis: number;
  readonly meanMs: number;
  /** Maximum relative error of callers' estimates. */
  readonly maxEstimateError: number;
  /** Share of jobs that are gangs. */
  readonly gangShare: number;
}

interface SimulationOptions {
  readonly speedPolicy: SpeedPolicyName;
  readonly queues: readonly QueueLoad[];
  readonly endpoints: number;
  readonly seed: number;
  /** Returns how many times longer runs take on an endpoint at a time. */
  readonly getSlowdown: (endpoint: number, now: number) => number;
  /** Returns the label of an endpoint. The default labels are unrelated to speeds. */
  readonly getLabel?: (endpoint: number) => string;
  readonly tailShare?: number;
  readonly failureShare?: number;
}

interface SimulatedRun {
  readonly task: TaskName;
  readonly run: number;
  readonly startedAt: number;
  readonly endsAt: number;
  /** Time of the whole run; one that fails ends earlier. */
  readonly wholeMs: number;
  readonly how: EndedTaskStatus['how'];
}

interface SimulatedJob {
  readonly definition: JobDefinition;
  readonly queue: QueueLoad;
  readonly sentAt: number;
  readonly isGang: boolean;
  readonly workMs: readonly number[];
  /** End of the slowest member of a gang, by run. */
  readonly gangEnds: Map<number, number>;
}

const TICK_MS = 10;
/** Time that acceptance, records and commands take from an objective; they are not simulated. */
const OVERHEAD_MS = 120;
const STATUS_TICKS = 5;
const PERIODIC_TICKS = 10;
const CPU_MILLIS = 32_000;
/** Factor on the time of the longest runs. */
const TAIL_FACTOR = 7;

/** Simulated cluster of endpoints with different speeds under load, with the dispatcher, on virtual time. */
export class HeterogeneousSimulation {
  dispatcher: Dispatcher;
  /** Ended jobs, and whether they were completed within their objectives. */
  readonly results: { readonly queue: string; readonly sentAt: number; readonly isInTime: boolean }[] = [];
  /** Starts in the order of their decisions. */
  readonly starts: string[] = [];
  readonly logLines: { readonly at: number; readonly message: string }[] = [];
  private readonly random: Random;
  private readonly profiles: EndpointProfile[] = [];
  private readonly running = new Map<EndpointIncarnation, SimulatedRun[]>();
  private readonly stopped = new Map<EndpointIncarnation, SimulatedRun[]>();
  private readonly jobs = new Map<JobId, SimulatedJob>();
  private endCount = 0;
  private now = 0;

  constructor(private readonly options: SimulationOptions) {
    this.random = createRandom(options.seed);
    this.dispatcher = this.createDispatcher();
    for (let number = 0; number < options.endpoints; number += 1) {
      const capacity = { cpuMillis: CPU_MILLIS, memoryMb: 64_000, accelerators: 0 };
      const label = options.getLabel?.(number) ?? `kind-${number % 2}`;
      const profile = createProfile(`i-${number}`, { capacity, labels: [label, `rack-${number % 5}`] });
      this.profiles.push(profile);
      this.running.set(profile.incarnation, []);
      this.stopped.set(profile.incarnation, []);
    }
    this.addEndpoints();
  }

  /** Replaces the leader. The next one gets the jobs and their progress, but nothing that the last one has learnt. */
  startNextLeader(): void {
    const last = this.dispatcher;
    this.dispatcher = this.createDispatcher();
    this.addEndpoints();
    for (const [id, { definition }] of this.jobs) {
      const progress = last.getJob(id)?.progress;
      if (progress !== undefined) {
        this.dispatcher.handleJob(definition, progress, this.now);
      }
    }
  }

  /** Runs the simulation until a time. */
  runUntil(untilMs: number): void {
    for (; this.now < untilMs; this.now += TICK_MS) {
      const tick = this.now / TICK_MS;
      [...this.running.keys()].forEach((endpoint, index) =>
        this.sendStatus(endpoint, (tick + index) % STATUS_TICKS === 0),
      );
      this.options.queues
        .filter(({ intervalMs }) => this.now % intervalMs < TICK_MS)
        .forEach((queue) => this.sendJob(queue));
      if (tick % PERIODIC_TICKS === 0) {
        this.dispatcher.handleTick(this.now);
      }
      this.dispatcher.placeWaiting(this.now, this.now);
      this.dispatcher.takeEffects().forEach((effect) => this.handleEffect(effect));
    }
  }

  /** Returns the share of a queue's jobs sent between two times that were completed within their objectives. */
  computeInTimeShare(queue: string, fromMs: number, untilMs: number): number {
    const isCounted = (sentAt: number): boolean => sentAt >= fromMs && sentAt < untilMs;
    const sent = [...this.jobs.values()].filter((job) => job.queue.name === queue && isCounted(job.sentAt));
    const inTime = this.results.filter(
      (result) => result.queue === queue && isCounted(result.sentAt) && result.isInTime,
    );
    return inTime.length / sent.length;
  }

  /** Returns the endpoints that the dispatcher considers degraded. */
  listDegraded(): readonly EndpointState[] {
    return this.profiles
      .map(({ incarnation }) => this.dispatcher.getEndpointState(incarnation)!)
      .filter((endpoint) => endpoint.isDegraded(this.now));
  }

  private createDispatcher(): Dispatcher {
    return new Dispatcher({
      getDefinition: (id) => this.jobs.get(id)?.definition,
      earlierLeasesEndAt: this.now,
      speedChoice: this.options.speedPolicy,
    });
  }

  private addEndpoints(): void {
    this.profiles.forEach((profile) => this.dispatcher.handleEndpointProfile(profile));
  }

  private sendJob(queue: QueueLoad): void {
    const isGang = this.random() < queue.gangShare;
    const meanMs = queue.meanMs * (0.6 + 0.8 * this.random());
    const workMs = Array.from({ length: queue.count }, () => meanMs * (0.75 + 0.5 * this.random()));
    const estimatedMs = Math.round(meanMs * (1 + queue.maxEstimateError * (2 * this.random() - 1)));
    const demand = { cpuMillis: queue.cpuMillis, memoryMb: 1000, accelerators: 0 };
    const step: JobStep = createStep({ count: queue.count, demand, estimatedMs, isGang });
    const { name, priority, stretch, targetLatencyMs } = queue;
    const policy: Partial<JobQueue> = { name, priority, stretch, targetLatencyMs, attempts: 100 };
    const definition = {
      ...createJobDefinition(this.jobs.size + 1, [step], policy),
      acceptedAtMs: this.now,
    };
    this.jobs.set(definition.id, {
      definition,
      queue,
      sentAt: this.now,
      isGang,
      workMs,
      gangEnds: new Map(),
    });
    this.dispatcher.handleJob(definition, new JobProgress(definition), this.now);
  }

  private handleEffect(effect: DispatchEffect): void {
    if (effect.kind === 'start') {
      this.startRun(effect);
    } else if (effect.kind === 'stop') {
      this.stopRun(effect.endpoint, effect.task, effect.run);
    } else if (effect.kind === 'tell') {
      this.logLines.push({ at: this.now, message: effect.message });
      if (effect.message === 'Job ended.') {
        this.recordResult(effect.fields);
      }
    }
  }

  private recordResult(fields: Readonly<Record<string, unknown>>): void {
    const { queue, sentAt, workMs } = this.jobs.get(fields['job'] as JobId)!;
    const objectiveMs = queue.targetLatencyMs + queue.stretch * Math.max(...workMs);
    const isInTime = fields['ending'] === 'completed' && this.now - sentAt + OVERHEAD_MS <= objectiveMs;
    this.results.push({ queue: queue.name, sentAt, isInTime });
  }

  private startRun(effect: Extract<DispatchEffect, { kind: 'start' }>): void {
    const { endpoint, command } = effect;
    const job = this.jobs.get(effect.job)!;
    this.starts.push(`${command.task}#${command.run} ${endpoint}`);
    this.dispatcher.handleStartRecorded(effect, this.now);
    this.dispatcher.handleStartResult(endpoint, command.task, command.run, { kind: 'done' }, this.now);
    const slowdown = this.options.getSlowdown(Number(endpoint.slice(2)), this.now);
    // Drawn even if unused, so that the same decisions get the same random numbers.
    const [tail, failure, failsAt] = [this.random(), this.random(), this.random()];
    const tailFactor = tail < (this.options.tailShare ?? 0) && !job.isGang ? TAIL_FACTOR : 1;
    const isFailing = failure < (this.options.failureShare ?? 0) && !job.isGang;
    const work = job.isGang ? Math.max(...job.workMs) : job.workMs[Number(command.task.split('.')[3])]!;
    const wholeMs = work * slowdown * tailFactor;
    const endsAt = this.now + wholeMs * (isFailing ? failsAt : 1);
    const startedAt = this.now;
    if (job.isGang) {
      job.gangEnds.set(command.run, Math.max(job.gangEnds.get(command.run) ?? 0, startedAt + wholeMs));
    }
    const getEnd = (): number => (job.isGang ? job.gangEnds.get(command.run)! : endsAt);
    this.running.get(endpoint)!.push({
      task: command.task,
      run: command.run,
      startedAt,
      wholeMs,
      how: isFailing ? 'failed' : 'done',
      get endsAt() {
        return getEnd();
      },
    });
  }

  private stopRun(endpoint: EndpointIncarnation, task: TaskName, run: number): void {
    const runs = this.running.get(endpoint)!;
    const found = runs.findIndex((row) => row.task === task && row.run === run);
    if (found >= 0) {
      this.stopped.get(endpoint)!.push(...runs.splice(found, 1));
    }
    this.dispatcher.handleStopResult(endpoint, task, run, { kind: 'done' }, this.now);
  }

  private sendStatus(endpoint: EndpointIncarnation, isDue: boolean): void {
    const runs = this.running.get(endpoint)!;
    const stopped = this.stopped.get(endpoint)!.splice(0);
    const finished = runs.filter(({ endsAt }) => endsAt <= this.now);
    if (finished.length === 0 && stopped.length === 0 && !isDue) {
      return;
    }
    const left = runs.filter(({ endsAt }) => endsAt > this.now);
    this.running.set(endpoint, left);
    const toRow = ({ task, run }: SimulatedRun, how: EndedTaskStatus['how']): EndedTaskStatus => ({
      number: (this.endCount += 1),
      task,
      run,
      how,
      checkpoint: '',
    });
    const ended = [
      ...finished.map((run) => toRow(run, run.how)),
      ...stopped.map((run) => toRow(run, 'stopped')),
    ];
    const rows = left.map(({ task, run, startedAt, endsAt, wholeMs }) => ({
      task,
      run,
      checkpoint: '',
      percent: Math.floor((100 * (this.now - startedAt)) / Math.max(wholeMs, endsAt - startedAt)),
      load: 0,
    }));
    this.dispatcher.handleStatus(
      { endpoint, running: rows, ended, pollSentAt: this.now },
      this.now,
      this.now,
    );
  }
}
