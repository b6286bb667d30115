import { createRandom } from '../../packages/common/createRandom';
import { toId } from '../../packages/common/toId';
import type { CustomerName } from '../../packages/customers/CustomerName';
import type { DispatchEffect } from '../../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { PlacementOrder } from '../../packages/dispatch/waiting/PlacementOrder';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import type { JobId } from '../../packages/jobs/JobId';
import { JobProgress } from '../../packages/jobs/JobProgress';
import type { TaskName } from '../../packages/jobs/TaskName';
import { createCustomer } from './createCustomer';
import { createJobDefinition } from './createJobDefinition';
import { createProfile } from './createProfile';
import { createStep } from './createStep';

/** What customers send: `perS` jobs a second of all together at full load. */
interface Kind {
  readonly name: string;
  /** Of one job that ends within its objective. */
  readonly worth: number;
  readonly priority: number;
  readonly perS: number;
  /** Tasks of a usual job, and of the widest. */
  readonly count: number;
  readonly mostCount: number;
  readonly cpuMillis: number;
  readonly meanMs: number;
  readonly targetLatencyMs: number;
  readonly isGang: boolean;
}

interface SentJob {
  readonly customer: CustomerName;
  readonly kind: Kind;
  readonly sentAt: number;
  readonly objectiveMs: number;
  readonly workMs: readonly number[];
  tookMs: number;
}

interface Run {
  readonly task: TaskName;
  readonly run: number;
  readonly endsAt: number;
}

/** What callers got, as parts of the worth of what they sent: late work counts a fifth, and nothing after three times its objective. */
interface ShareLoadOutcome {
  readonly all: number;
  /** Mean over the worst-served tenth of the customers. */
  readonly worstTenth: number;
  readonly hot: number;
  /** Mean over the customers other than the hot one. */
  readonly others: number;
  /** By kind, the part of the jobs that ended in time, and of the tenth with most tasks. */
  readonly inTime: Readonly<Record<string, number>>;
  readonly widestInTime: Readonly<Record<string, number>>;
  readonly longestMs: number;
}

interface ShareLoadOptions {
  readonly order: PlacementOrder;
  /** Work sent by the room that there is, without the hot customer's excess. */
  readonly load: number;
  readonly seed: number;
}

const ENDPOINTS = 60;
const CORES = 64;
const CUSTOMERS = 20;
/** The largest one. */
const HOT = 0;
const USEFUL_FACTOR = 3;
const LATE_WORTH = 0.2;
const TICK_MS = 40;
const SEND_MS = 20_000;
/** Time for what was sent to end. */
const DRAIN_MS = 20_000;
const HOT_FROM_MS = 6000;
const HOT_MS = 6000;
const HOT_FACTOR = 6;
const STRETCH = 1.5;
const MS_PER_S = 1000;

const toMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const toInTime = (jobs: readonly SentJob[]): number =>
  toMean(jobs.map(({ tookMs, objectiveMs }) => Number(tookMs <= objectiveMs)));

const toWorth = ({ kind, tookMs, objectiveMs }: SentJob): number => {
  const part = tookMs <= objectiveMs ? 1 : tookMs <= USEFUL_FACTOR * objectiveMs ? LATE_WORTH : 0;
  return part * kind.worth;
};

const toServedPart = (jobs: readonly SentJob[]): number =>
  toMean(jobs.map(toWorth)) / toMean(jobs.map(({ kind }) => kind.worth));

/** A gang that needs many large places at once, wide batch, and short urgent jobs: by work about 0.41, 0.48 and 0.11 of all. */
const KINDS: readonly Kind[] = [
  {
    name: 'gang',
    worth: 10.6,
    priority: 1,
    perS: 0.88,
    count: 20,
    mostCount: 30,
    cpuMillis: 18_000,
    meanMs: 5000,
    targetLatencyMs: 1000,
    isGang: true,
  },
  {
    name: 'wide',
    worth: 3.2,
    priority: 2,
    perS: 3.96,
    count: 25,
    mostCount: 90,
    cpuMillis: 6900,
    meanMs: 2700,
    targetLatencyMs: 3000,
    isGang: false,
  },
  {
    name: 'urgent',
    worth: 0.4,
    priority: 0,
    perS: 17.8,
    count: 3,
    mostCount: 12,
    cpuMillis: 9900,
    meanMs: 800,
    targetLatencyMs: 300,
    isGang: false,
  },
];

/** Plays customers with heavy-tailed weights, one of them hot for some seconds, against the dispatcher without a network. */
export class ShareLoad {
  private readonly jobs = new Map<JobId, SentJob>();
  private readonly dispatcher: Dispatcher;
  private readonly random: () => number;
  private readonly running = new Map<EndpointIncarnation, Run[]>();
  private endCount = 0;

  constructor(private readonly options: ShareLoadOptions) {
    this.random = createRandom(options.seed);
    this.dispatcher = new Dispatcher({
      getDefinition: () => undefined,
      earlierLeasesEndAt: 0,
      placementOrder: options.order,
    });
    for (let number = 0; number < ENDPOINTS; number += 1) {
      const capacity = { cpuMillis: CORES * 1000, memoryMb: 128_000, accelerators: 0 };
      const { incarnation: life } = createProfile(`i-${number}`);
      this.dispatcher.handleEndpointProfile(createProfile(`i-${number}`, { capacity }));
      this.dispatcher.handleStatus({ endpoint: life, running: [], ended: [], sentAt: 0 }, 0, 0);
      this.running.set(life, []);
    }
  }

  startPlay(): void {
    const weights = Array.from({ length: CUSTOMERS }, (_, rank) => 1 / (rank + 1));
    const sum = weights.reduce((total, weight) => total + weight, 0);
    const perS = KINDS.reduce((total, kind) => total + kind.perS, 0) * this.options.load;
    for (let now = 0; now < SEND_MS + DRAIN_MS; now += TICK_MS) {
      this.applyEnds(now);
      for (const [rank, weight] of weights.entries()) {
        const part = weight / sum;
        const isHot = rank === HOT && now >= HOT_FROM_MS && now < HOT_FROM_MS + HOT_MS;
        const chance =
          now < SEND_MS ? ((part * TICK_MS) / MS_PER_S) * this.options.load * (isHot ? HOT_FACTOR : 1) : 0;
        for (const kind of KINDS) {
          if (this.random() < chance * kind.perS) {
            this.sendJob(kind, createCustomer(`customer-${rank}`, {}, part * perS), now);
          }
        }
      }
      this.dispatcher.handleTick(now);
      this.dispatcher.placeWaiting(now, now);
      this.dispatcher.takeEffects().forEach((effect) => this.applyEffect(effect, now));
    }
  }

  readOutcome(): ShareLoadOutcome {
    const jobs = [...this.jobs.values()];
    const byCustomer = Array.from({ length: CUSTOMERS }, (_, rank) =>
      toServedPart(jobs.filter(({ customer }) => customer === `customer-${rank}`)),
    );
    const byKind = KINDS.map(({ name }) => [name, jobs.filter(({ kind }) => kind.name === name)] as const);
    const toWidest = (ofKind: readonly SentJob[]): readonly SentJob[] =>
      [...ofKind]
        .sort((left, right) => right.workMs.length - left.workMs.length)
        .slice(0, ofKind.length / 10);
    return {
      all: toServedPart(jobs),
      worstTenth: toMean([...byCustomer].sort((left, right) => left - right).slice(0, CUSTOMERS / 10)),
      hot: byCustomer[HOT]!,
      others: toMean(byCustomer.filter((_, rank) => rank !== HOT)),
      inTime: Object.fromEntries(byKind.map(([name, ofKind]) => [name, toInTime(ofKind)])),
      widestInTime: Object.fromEntries(byKind.map(([name, ofKind]) => [name, toInTime(toWidest(ofKind))])),
      longestMs: Math.max(...jobs.map(({ tookMs }) => tookMs)),
    };
  }

  private sendJob(kind: Kind, customer: ReturnType<typeof createCustomer>, now: number): void {
    const { cpuMillis, meanMs, isGang, name, priority, targetLatencyMs } = kind;
    const count = this.chooseCount(kind);
    const demand = { cpuMillis, memoryMb: (2 * cpuMillis) / 1000, accelerators: 0 };
    const steps = [createStep({ count, demand, estimatedMs: meanMs * (0.5 + this.random()), isGang })];
    const definition = {
      ...createJobDefinition(this.jobs.size + 1, steps, {
        name,
        priority,
        targetLatencyMs,
        stretch: STRETCH,
        attempts: 100,
      }),
      customer,
      acceptedAtMs: now,
    };
    const workMs = Array.from({ length: count }, () => meanMs * (0.7 + 0.6 * this.random()));
    const objectiveMs = targetLatencyMs + STRETCH * Math.max(...workMs);
    this.jobs.set(definition.id, {
      customer: customer.name,
      kind,
      sentAt: now,
      objectiveMs,
      workMs,
      tookMs: Infinity,
    });
    this.dispatcher.handleJob(definition, new JobProgress(definition), now);
  }

  /** Most jobs have fewer tasks than the mean, few have many times as many. */
  private chooseCount({ count, mostCount }: Kind): number {
    const drawn = Math.round(-Math.log(1 - this.random()) * count);
    return Math.min(mostCount, Math.max(1, drawn));
  }

  private applyEffect(effect: DispatchEffect, now: number): void {
    if (effect.kind === 'start') {
      const { endpoint, command: order, job } = effect;
      this.dispatcher.handleStartRecorded(effect, now);
      this.dispatcher.handleStartResult(endpoint, order.task, order.run, { kind: 'done' }, now);
      const endsAt = now + this.jobs.get(job)!.workMs[Number(order.task.split('.')[3])]!;
      this.running.get(endpoint)!.push({ task: order.task, run: order.run, endsAt });
    } else if (effect.kind === 'tell' && effect.message === 'Job ended.') {
      const job = this.jobs.get(toId<JobId>(String(effect.fields['job'])))!;
      job.tookMs = now - job.sentAt;
    }
  }

  private applyEnds(now: number): void {
    for (const [endpoint, runs] of this.running) {
      const ended: EndedTaskStatus[] = runs
        .filter(({ endsAt }) => endsAt <= now)
        .map(({ task, run }) => ({ number: (this.endCount += 1), task, run, how: 'done', checkpoint: '' }));
      if (ended.length > 0) {
        const left = runs.filter(({ endsAt }) => endsAt > now);
        this.running.set(endpoint, left);
        const rows = left.map(({ task, run }) => ({ task, run, checkpoint: '', percent: 50, load: 0 }));
        this.dispatcher.handleStatus({ endpoint, running: rows, ended, sentAt: now }, now, now);
      }
    }
  }
}
