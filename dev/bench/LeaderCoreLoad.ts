import { toId } from '../../packages/common/toId';
import { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { DispatchEffect } from '../../packages/dispatch/DispatchEffect';
import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { EndpointId } from '../../packages/jobs/EndpointId';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import type { JobId } from '../../packages/jobs/JobId';
import { JobProgress } from '../../packages/jobs/JobProgress';
import type { ServiceName } from '../../packages/jobs/ServiceName';
import type { TaskName } from '../../packages/jobs/TaskName';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;
type AdviseEffect = Extract<DispatchEffect, { kind: 'advise' }>;

/** A kind of job of the load. */
interface LeaderCoreStream {
  readonly name: string;
  readonly priority: number;
  readonly taskCount: number;
  readonly cpuMillis: number;
  readonly runMs: number;
  readonly stepCount: number;
  readonly isLongRunning: boolean;
  readonly advice: { readonly decisionMs: number; readonly perEndpointMs: number };
  /** Share of the backlog that consists of jobs of this stream; 0 for a stream with a rate. */
  readonly backlogShare: number;
  /** Jobs a second for each endpoint. */
  readonly ratePerEndpoint: number;
}

interface LeaderCoreLoadOptions {
  readonly endpoints: number;
  /** Jobs kept waiting of which no task has started. */
  readonly backlog: number;
  /** Boxes that send advice requests, one at a time each. */
  readonly boxes: number;
}

interface LoadRun {
  readonly task: TaskName;
  readonly run: number;
  readonly job: JobId;
  readonly startedAt: number;
  readonly endsAt: number;
}

/** Kinds of calls whose processor time is measured. */
type LeaderCorePart = 'round' | 'tick' | 'status' | 'advice' | 'start' | 'job' | 'effects';

const STREAMS: readonly LeaderCoreStream[] = [
  {
    name: 'urgent',
    priority: 0,
    taskCount: 6,
    cpuMillis: 3600,
    runMs: 1000,
    stepCount: 1,
    isLongRunning: false,
    advice: { decisionMs: 30, perEndpointMs: 0.43 },
    backlogShare: 0,
    ratePerEndpoint: 0.15,
  },
  {
    name: 'batch',
    priority: 1,
    taskCount: 13,
    cpuMillis: 4500,
    runMs: 6000,
    stepCount: 2,
    isLongRunning: false,
    advice: { decisionMs: 420, perEndpointMs: 6 },
    backlogShare: 0.7,
    ratePerEndpoint: 0,
  },
  {
    name: 'lasting',
    priority: 2,
    taskCount: 20,
    cpuMillis: 2000,
    runMs: 20_000,
    stepCount: 1,
    isLongRunning: true,
    advice: { decisionMs: 450, perEndpointMs: 6.5 },
    backlogShare: 0.3,
    ratePerEndpoint: 0,
  },
];
const SERVICE = toId<ServiceName>('service-a');
const STEP_MS = 10;
const POLL_INTERVAL_MS = 400;
const TICK_INTERVAL_MS = 100;
const START_LATENCY_MS = 30;
const STOP_LATENCY_MS = 100;
const TICKET_VALIDITY_MS = 4000;
const ALLOWED_SHARE = 0.6;
const ID_DIGITS = 16;
const HASH_RANGE = 2 ** 32;

/** Returns a number from 0 to 1 that only depends on the text. */
const computeChance = (text: string): number => {
  let hash = 0;
  for (const letter of text) {
    hash = (Math.imul(hash, 31) + letter.charCodeAt(0)) >>> 0;
  }
  return (Math.imul(hash ^ (hash >>> 15), 2_246_822_519) >>> 0) / HASH_RANGE;
};

/** Drives a dispatcher with an overloaded fleet in simulated time, and measures the processor time of each kind of call. */
export class LeaderCoreLoad {
  /** Processor time by kind of call since `clearMeasurements`, in milliseconds. */
  readonly partMs: Record<LeaderCorePart, number> = {
    round: 0,
    tick: 0,
    status: 0,
    advice: 0,
    start: 0,
    job: 0,
    effects: 0,
  };
  startCount = 0;
  private readonly dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  private readonly running = new Map<EndpointIncarnation, LoadRun[]>();
  private readonly ended = new Map<EndpointIncarnation, EndedTaskStatus[]>();
  /** Calls due at a simulated time. */
  private readonly dueCalls = new Map<number, (() => void)[]>();
  /** Jobs of which no task has started, by stream. */
  private readonly unstartedJobs = new Map<string, Set<JobId>>(STREAMS.map(({ name }) => [name, new Set()]));
  private readonly streamsByJob = new Map<JobId, LeaderCoreStream>();
  private jobCount = 0;
  private endCount = 0;
  private pendingRequestCount = 0;
  private now = 0;

  constructor(private readonly options: LeaderCoreLoadOptions) {
    for (let number = 0; number < options.endpoints; number += 1) {
      const id = `endpoint-${number}`;
      const incarnation = toId<EndpointIncarnation>(id);
      this.running.set(incarnation, []);
      this.dispatcher.handleEndpointProfile({
        id: toId<EndpointId>(id),
        incarnation,
        service: SERVICE,
        address: `${id}:80`,
        hall: `hall-${number % 3}`,
        capacity: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
        labels: [],
        isDraining: false,
        minDrainMs: 0,
      });
      this.sendStatus(incarnation);
    }
  }

  /** Runs the load for a simulated time. */
  runFor(lengthMs: number): void {
    for (const until = this.now + lengthMs; this.now < until; this.now += STEP_MS) {
      this.addJobs();
      const calls = this.dueCalls.get(this.now) ?? [];
      this.dueCalls.delete(this.now);
      calls.forEach((call) => call());
      this.sendStatuses();
      if (this.now % TICK_INTERVAL_MS === 0) {
        this.runPart('tick', () => this.dispatcher.handleTick(this.now));
      }
      const free = Math.max(0, this.options.boxes - this.pendingRequestCount);
      const slots = { all: free, long: Math.max(0, free - 1), quarantined: 0 };
      this.runPart('round', () => this.dispatcher.placeWaiting(this.now, this.now, slots));
      this.runPart('effects', () => this.dispatcher.takeEffects()).forEach((one) => this.handleEffect(one));
    }
  }

  clearMeasurements(): void {
    this.startCount = 0;
    for (const part of Object.keys(this.partMs) as LeaderCorePart[]) {
      this.partMs[part] = 0;
    }
  }

  private runPart<Value>(part: LeaderCorePart, call: () => Value): Value {
    const startedAt = performance.now();
    const value = call();
    this.partMs[part] += performance.now() - startedAt;
    return value;
  }

  /** Arranges a call for the first step of the simulation after a delay. */
  private scheduleCall(delayMs: number, call: () => void): void {
    const at = Math.ceil((this.now + Math.max(STEP_MS, delayMs)) / STEP_MS) * STEP_MS;
    this.dueCalls.set(at, [...(this.dueCalls.get(at) ?? []), call]);
  }

  private addJobs(): void {
    for (const stream of STREAMS) {
      const rate = (stream.ratePerEndpoint * this.options.endpoints * STEP_MS) / 1000;
      const dueCount = Math.floor((this.now / STEP_MS + 1) * rate) - Math.floor((this.now / STEP_MS) * rate);
      const wanted = Math.round(stream.backlogShare * this.options.backlog);
      const missing = Math.max(dueCount, wanted - this.unstartedJobs.get(stream.name)!.size);
      for (let number = 0; number < missing; number += 1) {
        this.addJob(stream);
      }
    }
  }

  private addJob(stream: LeaderCoreStream): void {
    this.jobCount += 1;
    const { name, priority, cpuMillis, taskCount, runMs, isLongRunning } = stream;
    const step = {
      count: taskCount,
      demand: { cpuMillis, memoryMb: 1000, accelerators: 0 },
      estimatedMs: isLongRunning ? 0 : runMs,
      isGang: false,
      isSameRack: false,
      requiredLabel: '',
      dataRack: '',
      maxPerEndpoint: 0,
      allowsDuplicates: false,
      isLongRunning,
      isCheckpointing: name === 'batch',
      image: '',
      targetMs: 0,
      isFiller: false,
      missAllowed: 0,
    };
    const definition: JobDefinition = {
      id: toId<JobId>(this.jobCount.toString(16).padStart(ID_DIGITS, '0')),
      queue: {
        name,
        service: SERVICE,
        priority,
        attempts: 3,
        stretch: 2,
        targetLatencyMs: 2 * runMs,
        advice: { ...stream.advice, validityMs: TICKET_VALIDITY_MS },
      },
      spec: '',
      steps: Array.from({ length: stream.stepCount }, (_none, index) => ({
        ...step,
        dependsOn: index === 0 ? [] : [index - 1],
      })),
      times: 1,
      firstRunMs: 0,
      intervalMs: 0,
      acceptedAtMs: this.now,
    };
    this.unstartedJobs.get(name)!.add(definition.id);
    this.streamsByJob.set(definition.id, stream);
    this.runPart('job', () => this.dispatcher.handleJob(definition, new JobProgress(definition), this.now));
  }

  private handleEffect(effect: DispatchEffect): void {
    if (effect.kind === 'advise') {
      this.pendingRequestCount += 1;
      this.scheduleCall(effect.expectedResponseMs, () => this.handleResponse(effect));
    } else if (effect.kind === 'start') {
      this.scheduleCall(START_LATENCY_MS, () => this.handleStart(effect));
    } else if (effect.kind === 'stop') {
      this.scheduleCall(STOP_LATENCY_MS, () => this.handleStop(effect.endpoint, effect.task));
    }
  }

  private handleResponse({ step, candidates }: AdviseEffect): void {
    this.pendingRequestCount -= 1;
    const allowed = candidates.filter((id) => computeChance(`${step} ${id}`) < ALLOWED_SHARE);
    const tickets = new Map(allowed.map((id) => [id, step]));
    this.runPart('advice', () => this.dispatcher.handleAdviceResponse(step, candidates, tickets, this.now));
  }

  private handleStart(effect: StartEffect): void {
    const { endpoint, command, job } = effect;
    const { task, run } = command;
    const stream = this.streamsByJob.get(job)!;
    const isToSend = this.runPart('start', () => this.dispatcher.handleStartRecorded(effect, this.now));
    if (!isToSend) {
      return;
    }
    this.runPart('start', () =>
      this.dispatcher.handleStartResult(endpoint, task, run, { kind: 'done' }, this.now),
    );
    this.startCount += 1;
    if (this.unstartedJobs.get(stream.name)!.delete(job) && stream.isLongRunning) {
      this.scheduleCall(stream.runMs, () => this.dispatcher.handleCancel(job, this.now));
    }
    const workMs = stream.isLongRunning ? Infinity : stream.runMs * (0.7 + 0.6 * computeChance(task));
    this.running.get(endpoint)!.push({ task, run, job, startedAt: this.now, endsAt: this.now + workMs });
  }

  private handleStop(endpoint: EndpointIncarnation, task: TaskName): void {
    const run = this.running.get(endpoint)!.find((other) => other.task === task);
    if (run !== undefined) {
      this.recordEnd(endpoint, run, 'stopped');
    }
  }

  private recordEnd(endpoint: EndpointIncarnation, run: LoadRun, how: EndedTaskStatus['how']): void {
    const left = this.running.get(endpoint)!.filter((other) => other !== run);
    this.running.set(endpoint, left);
    const row = { number: (this.endCount += 1), task: run.task, run: run.run, how, checkpoint: '' };
    this.ended.set(endpoint, [...(this.ended.get(endpoint) ?? []), row]);
  }

  /** Sends the status of each endpoint that has new ends, or whose poll is due. */
  private sendStatuses(): void {
    let number = 0;
    for (const [endpoint, runs] of this.running) {
      for (const run of runs.filter(({ endsAt }) => endsAt <= this.now)) {
        this.recordEnd(endpoint, run, 'done');
      }
      number += 1;
      if (this.ended.has(endpoint) || (this.now + number * STEP_MS) % POLL_INTERVAL_MS === 0) {
        this.sendStatus(endpoint);
      }
    }
  }

  private sendStatus(endpoint: EndpointIncarnation): void {
    const running = this.running.get(endpoint)!.map(({ task, run, startedAt, endsAt }) => ({
      task,
      run,
      checkpoint: '',
      percent: Math.floor((100 * (this.now - startedAt)) / (endsAt - startedAt)),
      load: 0,
    }));
    const ended = this.ended.get(endpoint) ?? [];
    this.ended.delete(endpoint);
    // The status is that of a poll sent before the starts of this step.
    const status = { endpoint, running, ended, pollSentAt: this.now - STEP_MS };
    this.runPart('status', () => this.dispatcher.handleStatus(status, this.now, this.now));
  }
}
