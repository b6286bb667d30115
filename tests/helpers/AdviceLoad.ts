import { vi } from 'vitest';
import { createRandom } from '../../packages/common/createRandom';
import { toId } from '../../packages/common/toId';
import { adviceBalancers } from '../../packages/dispatch/advice/adviceBalancers';
import type { AdviceChannel } from '../../packages/dispatch/advice/AdviceChannel';
import type { AdviceBalancer } from '../../packages/dispatch/advice/AdviceBalancer';
import type { AdvicePolicyName } from '../../packages/dispatch/advice/AdvicePolicyName';
import type { DispatchEffect } from '../../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { EndpointId } from '../../packages/jobs/EndpointId';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import { JobProgress } from '../../packages/jobs/JobProgress';
import type { JobQueue } from '../../packages/jobs/JobQueue';
import type { JobStep } from '../../packages/jobs/JobStep';
import type { TaskName } from '../../packages/jobs/TaskName';
import { createJobDefinition } from './createJobDefinition';
import { createProfile } from './createProfile';
import { createStep } from './createStep';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

/** Jobs that come all the time. */
interface Stream {
  readonly queue: Partial<JobQueue> & {
    readonly name: string;
    readonly advice: NonNullable<JobQueue['advice']>;
  };
  readonly step: Partial<JobStep> & { readonly count: number; readonly estimatedMs: number };
  readonly perSecond: number;
  /** Share of the endpoints that a step may use. */
  readonly share: number;
}

interface AdviceLoadOptions {
  readonly turns: AdvicePolicyName;
  readonly streams: readonly Stream[];
  readonly endpoints: number;
  readonly boxes: number;
  readonly seed: number;
  /** How much longer than the service needs a box takes to answer, in milliseconds; Infinity when it falls silent. */
  readonly readBoxDelayMs: (box: number, now: number) => number;
  /** The service turns every question away until a time, from another. */
  readonly refusal?: { readonly from: number; readonly until: number };
}

interface PlayedJob {
  readonly definition: JobDefinition;
  readonly progress: JobProgress;
  readonly sentAt: number;
  /** All its tasks had been started once. */
  startedAt: number | undefined;
  endedAt: number | undefined;
}

interface PlayedRun {
  readonly task: TaskName;
  readonly run: number;
  readonly job: string;
  readonly startedAt: number;
  readonly endsAt: number;
}

const TICK_MS = 5;
const LOOK_EVERY_MS = 100;
const ORDER_MS = 10;
const STOP_MS = 100;

/** A number from 0 to 1 that is the same for the same text: what a step may use, and how long a task works, do not change. */
const toChance = (text: string): number => {
  let hash = 0;
  for (const letter of text) {
    hash = (Math.imul(hash, 31) + letter.charCodeAt(0)) >>> 0;
  }
  return createRandom(hash)();
};

/** A leader's decisions, its desk, endpoints and the advice service, in one process and in the time of vitest's fake timers. */
export class AdviceLoad {
  readonly jobs: PlayedJob[] = [];
  /** When questions reached the service, or a box that passed them on. */
  readonly asked: number[] = [];
  /** Time for which the service has worked, in milliseconds. */
  servedMs = 0;
  /** Starts whose ticket had run out, or was none. */
  badTickets = 0;
  readonly counts = new Map<string, number>();
  private readonly random: () => number;
  private readonly running = new Map<EndpointIncarnation, PlayedRun[]>();
  private readonly ended = new Map<EndpointIncarnation, EndedTaskStatus[]>();
  private readonly askers: readonly AdviceChannel[];
  private dispatcher: Dispatcher;
  private desk: AdviceBalancer;
  private endCount = 0;
  private now = 0;

  constructor(private readonly options: AdviceLoadOptions) {
    this.random = createRandom(options.seed);
    for (let number = 0; number < options.endpoints; number += 1) {
      this.running.set(toId<EndpointIncarnation>(`i-${number}`), []);
    }
    this.askers = Array.from({ length: options.boxes }, (_none, box) => this.createAsker(box));
    this.dispatcher = this.createDispatcher();
    this.desk = this.createDesk(this.dispatcher);
  }

  /** Lets the load go on until a time. */
  async startUntil(until: number): Promise<void> {
    for (; this.now < until; this.now += TICK_MS) {
      this.sendJobs();
      this.applyEnds();
      if (this.now % LOOK_EVERY_MS === 0) {
        this.sendLooks();
        this.dispatcher.handleTick(this.now);
      }
      this.dispatcher.placeWaiting(this.now, this.now, this.desk.getFreeSlots());
      this.dispatcher.takeEffects().forEach((effect) => this.applyEffect(effect));
      await vi.advanceTimersByTimeAsync(TICK_MS);
    }
  }

  /** Another leader takes over with what the log holds: jobs and their progress, but nothing of advice. */
  startNextLeader(): void {
    this.desk.stop();
    this.dispatcher = this.createDispatcher();
    this.desk = this.createDesk(this.dispatcher);
    for (const { definition, progress } of this.jobs) {
      this.dispatcher.handleJob(definition, progress, this.now);
    }
    this.sendLooks();
  }

  private createDispatcher(): Dispatcher {
    const { turns } = this.options;
    const dispatcher = new Dispatcher({
      getDefinition: () => undefined,
      earlierLeasesEndAt: 0,
      turnChoice: turns,
    });
    const capacity = { cpuMillis: 64_000, memoryMb: 128_000, accelerators: 0 };
    for (const life of this.running.keys()) {
      dispatcher.handleEndpointProfile(createProfile(life, { capacity }));
      dispatcher.handleStatus({ endpoint: life, running: [], ended: [], sentAt: -1 }, this.now, this.now);
    }
    return dispatcher;
  }

  private createDesk(dispatcher: Dispatcher): AdviceBalancer {
    return adviceBalancers[this.options.turns]({
      clock: { readNow: () => Date.now(), readWall: () => Date.now() },
      listChannels: () => this.askers,
      handleResponse: ({ step, endpoints }, answer) =>
        dispatcher.handleAdviceResponse(step, endpoints, answer, Date.now()),
    });
  }

  /** A box of whose questions the service takes one after the other. */
  private createAsker(box: number): AdviceChannel {
    let freeAt = 0;
    const sendQuestion = async (
      step: string,
      endpoints: readonly EndpointId[],
      timeoutMs: number,
    ): Promise<ReadonlyMap<EndpointId, string> | undefined> => {
      const { queue, share } = this.readStream(step);
      this.asked.push(Date.now());
      const { from, until } = this.options.refusal ?? { from: 0, until: 0 };
      if (Date.now() >= from && Date.now() < until) {
        return undefined;
      }
      const workMs = queue.advice.decisionMs + queue.advice.perEndpointMs * endpoints.length;
      this.servedMs += workMs;
      freeAt = Math.max(freeAt, Date.now()) + workMs;
      const answeredAt = freeAt + this.options.readBoxDelayMs(box, Date.now());
      const isLate = answeredAt - Date.now() > timeoutMs;
      await new Promise((resolve) => setTimeout(resolve, isLate ? timeoutMs : answeredAt - Date.now()));
      const good = endpoints.filter((id) => toChance(`${step} ${id}`) < share);
      return isLate
        ? undefined
        : new Map(good.map((id) => [id, String(answeredAt + queue.advice.validityMs)] as const));
    };
    return {
      box: `box-${box}`,
      isOwn: box === 0,
      client: { requestAdvice: sendQuestion, stop: () => Promise.resolve() },
    };
  }

  private readStream(step: string): Stream {
    return this.options.streams[parseInt(step.slice(0, 16), 16) % this.options.streams.length]!;
  }

  private sendJobs(): void {
    for (const [number, { queue, step, perSecond }] of this.options.streams.entries()) {
      if (this.random() < (perSecond * TICK_MS) / 1000) {
        const count = Math.max(1, Math.round(step.count * (0.4 + 1.2 * this.random())));
        const id = this.jobs.length * this.options.streams.length + number;
        const definition = {
          ...createJobDefinition(id, [createStep({ ...step, count })], queue),
          acceptedAtMs: this.now,
        };
        const progress = new JobProgress(definition);
        this.jobs.push({ definition, progress, sentAt: this.now, startedAt: undefined, endedAt: undefined });
        this.dispatcher.handleJob(definition, progress, this.now);
      }
    }
  }

  private applyEffect(effect: DispatchEffect): void {
    if (effect.kind === 'advise') {
      void this.desk.sendRequest(effect);
    } else if (effect.kind === 'start') {
      const { dispatcher } = this;
      setTimeout(() => this.applyStart(dispatcher, effect), ORDER_MS);
    } else if (effect.kind === 'stop') {
      setTimeout(() => this.applyStop(effect.endpoint, effect.task), STOP_MS);
    } else if (effect.kind === 'count') {
      this.counts.set(effect.name, (this.counts.get(effect.name) ?? 0) + effect.amount);
    }
  }

  private applyStart(dispatcher: Dispatcher, effect: StartEffect): void {
    const { endpoint, command: order } = effect;
    const now = Date.now();
    if (!dispatcher.handleStartRecorded(effect, now)) {
      return;
    }
    this.badTickets += order.ticket === '' || Number(order.ticket) < now ? 1 : 0;
    dispatcher.handleStartResult(endpoint, order.task, order.run, { kind: 'done' }, now);
    const job = this.jobs.find(({ definition }) => definition.id === effect.job)!;
    const { estimatedMs, isGang } = job.definition.steps[0]!;
    // A checkpoint tells how long the task has worked.
    const workMs = estimatedMs * (isGang ? 1 : 0.7 + 0.6 * toChance(order.task)) - Number(order.checkpoint);
    const run = { task: order.task, run: order.run, job: effect.job, startedAt: now, endsAt: now + workMs };
    this.running.get(endpoint)!.push(run);
    const isWaiting = job.progress.listTasks(0, 0).some(({ phase }) => phase === 'waiting');
    job.startedAt ??= isWaiting ? undefined : now;
  }

  private applyStop(endpoint: EndpointIncarnation, task: TaskName): void {
    const run = this.running.get(endpoint)!.find((other) => other.task === task);
    if (run !== undefined) {
      this.recordEnd(endpoint, run, 'stopped', String(Date.now() - run.startedAt));
    }
  }

  private recordEnd(
    endpoint: EndpointIncarnation,
    run: PlayedRun,
    how: EndedTaskStatus['how'],
    checkpoint: string,
  ): void {
    const left = this.running.get(endpoint)!.filter((other) => other !== run);
    this.running.set(endpoint, left);
    const row = { number: (this.endCount += 1), task: run.task, run: run.run, how, checkpoint };
    this.ended.set(endpoint, [...(this.ended.get(endpoint) ?? []), row]);
  }

  private applyEnds(): void {
    for (const [endpoint, runs] of this.running) {
      for (const run of runs.filter(({ endsAt }) => endsAt <= this.now)) {
        this.recordEnd(endpoint, run, 'done', '');
      }
      if (this.ended.has(endpoint)) {
        this.sendLook(endpoint);
      }
    }
    for (const job of this.jobs) {
      job.endedAt ??= job.progress.isEnded() ? this.now : undefined;
    }
  }

  private sendLooks(): void {
    for (const endpoint of this.running.keys()) {
      this.sendLook(endpoint);
    }
  }

  private sendLook(endpoint: EndpointIncarnation): void {
    const running = this.running.get(endpoint)!.map(({ task, run, startedAt, endsAt }) => ({
      task,
      run,
      checkpoint: '',
      percent: Math.floor((100 * (this.now - startedAt)) / (endsAt - startedAt)),
      load: 0,
    }));
    const ended = this.ended.get(endpoint) ?? [];
    this.ended.delete(endpoint);
    this.dispatcher.handleStatus({ endpoint, running, ended, sentAt: this.now }, this.now, this.now);
  }
}
