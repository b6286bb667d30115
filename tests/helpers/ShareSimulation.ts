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

/** A kind of job. */
interface JobKind {
  readonly name: string;
  /** Value of one job that ends within its objective. */
  readonly value: number;
  readonly priority: number;
  /** Jobs a second of all customers together at a load of 1. */
  readonly ratePerS: number;
  /** Mean number of tasks of a job before the maximum is applied. */
  readonly count: number;
  readonly maxCount: number;
  readonly cpuMillis: number;
  readonly meanMs: number;
  readonly targetLatencyMs: number;
  readonly isGang: boolean;
}

interface SentJob {
  readonly customer: CustomerName;
  readonly kind: JobKind;
  readonly sentAt: number;
  readonly objectiveMs: number;
  readonly workMs: readonly number[];
  durationMs: number;
}

interface Run {
  readonly task: TaskName;
  readonly run: number;
  readonly endsAt: number;
}

/** Served shares of the value of sent jobs, 0 to 1. Late jobs count a fifth, and nothing after three times their objective. */
interface ShareOutcome {
  readonly all: number;
  /** Mean over the tenth of the customers with the lowest shares. */
  readonly worstDecile: number;
  readonly hot: number;
  /** Mean over the customers without the burst. */
  readonly others: number;
  /** Share of the jobs that ended in time, by kind. */
  readonly inTime: Readonly<Record<string, number>>;
  readonly widestDecileInTime: Readonly<Record<string, number>>;
  readonly longestMs: number;
}

interface ShareSimulationOptions {
  readonly order: PlacementOrder;
  /** Sent work relative to the capacity, without the burst. */
  readonly load: number;
  readonly seed: number;
}

const ENDPOINTS = 60;
const CORES = 64;
const CUSTOMERS = 20;
/** Index of the largest customer, which sends the burst. */
const LARGEST = 0;
const MAX_USEFUL_FACTOR = 3;
const LATE_VALUE = 0.2;
const TICK_MS = 40;
const SEND_MS = 20_000;
/** Time for the sent jobs to end. */
const DRAIN_MS = 20_000;
const BURST_FROM_MS = 6000;
const BURST_MS = 6000;
const BURST_FACTOR = 6;
const STRETCH = 1.5;
const MS_PER_S = 1000;

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const computeInTimeShare = (jobs: readonly SentJob[]): number =>
  computeMean(jobs.map(({ durationMs, objectiveMs }) => Number(durationMs <= objectiveMs)));

const computeValue = ({ kind, durationMs, objectiveMs }: SentJob): number => {
  const share =
    durationMs <= objectiveMs ? 1 : durationMs <= MAX_USEFUL_FACTOR * objectiveMs ? LATE_VALUE : 0;
  return share * kind.value;
};

const computeServedShare = (jobs: readonly SentJob[]): number =>
  computeMean(jobs.map(computeValue)) / computeMean(jobs.map(({ kind }) => kind.value));

/** Gangs of large tasks, wide batch jobs, and short urgent jobs: about 0.41, 0.48 and 0.11 of the work. */
const KINDS: readonly JobKind[] = [
  {
    name: 'gang',
    value: 10.6,
    priority: 1,
    ratePerS: 0.88,
    count: 20,
    maxCount: 30,
    cpuMillis: 18_000,
    meanMs: 5000,
    targetLatencyMs: 1000,
    isGang: true,
  },
  {
    name: 'wide',
    value: 3.2,
    priority: 2,
    ratePerS: 3.96,
    count: 25,
    maxCount: 90,
    cpuMillis: 6900,
    meanMs: 2700,
    targetLatencyMs: 3000,
    isGang: false,
  },
  {
    name: 'urgent',
    value: 0.4,
    priority: 0,
    ratePerS: 17.8,
    count: 3,
    maxCount: 12,
    cpuMillis: 9900,
    meanMs: 800,
    targetLatencyMs: 300,
    isGang: false,
  },
];

/** Simulates customers with heavy-tailed weights, the largest with a burst of some seconds, on virtual time. */
export class ShareSimulation {
  private readonly jobs = new Map<JobId, SentJob>();
  private readonly dispatcher: Dispatcher;
  private readonly random: () => number;
  private readonly running = new Map<EndpointIncarnation, Run[]>();
  private endCount = 0;

  constructor(private readonly options: ShareSimulationOptions) {
    this.random = createRandom(options.seed);
    this.dispatcher = new Dispatcher({
      getDefinition: () => undefined,
      earlierLeasesEndAt: 0,
      placementOrder: options.order,
    });
    for (let number = 0; number < ENDPOINTS; number += 1) {
      const capacity = { cpuMillis: CORES * 1000, memoryMb: 128_000, accelerators: 0 };
      const { incarnation } = createProfile(`i-${number}`);
      this.dispatcher.handleEndpointProfile(createProfile(`i-${number}`, { capacity }));
      this.dispatcher.handleStatus({ endpoint: incarnation, running: [], ended: [], pollSentAt: 0 }, 0, 0);
      this.running.set(incarnation, []);
    }
  }

  run(): void {
    const weights = Array.from({ length: CUSTOMERS }, (_, rank) => 1 / (rank + 1));
    const sum = weights.reduce((total, weight) => total + weight, 0);
    const perS = KINDS.reduce((total, kind) => total + kind.ratePerS, 0) * this.options.load;
    for (let now = 0; now < SEND_MS + DRAIN_MS; now += TICK_MS) {
      this.sendEnds(now);
      for (const [rank, weight] of weights.entries()) {
        const share = weight / sum;
        const isHot = rank === LARGEST && now >= BURST_FROM_MS && now < BURST_FROM_MS + BURST_MS;
        const chance =
          now < SEND_MS ? ((share * TICK_MS) / MS_PER_S) * this.options.load * (isHot ? BURST_FACTOR : 1) : 0;
        for (const kind of KINDS) {
          if (this.random() < chance * kind.ratePerS) {
            this.sendJob(kind, createCustomer(`customer-${rank}`, {}, share * perS), now);
          }
        }
      }
      this.dispatcher.handleTick(now);
      this.dispatcher.placeWaiting(now, now);
      this.dispatcher.takeEffects().forEach((effect) => this.handleEffect(effect, now));
    }
  }

  computeOutcome(): ShareOutcome {
    const jobs = [...this.jobs.values()];
    const byCustomer = Array.from({ length: CUSTOMERS }, (_, rank) =>
      computeServedShare(jobs.filter(({ customer }) => customer === `customer-${rank}`)),
    );
    const byKind = KINDS.map(({ name }) => [name, jobs.filter(({ kind }) => kind.name === name)] as const);
    const listWidestDecile = (ofKind: readonly SentJob[]): readonly SentJob[] =>
      [...ofKind]
        .sort((left, right) => right.workMs.length - left.workMs.length)
        .slice(0, ofKind.length / 10);
    return {
      all: computeServedShare(jobs),
      worstDecile: computeMean([...byCustomer].sort((left, right) => left - right).slice(0, CUSTOMERS / 10)),
      hot: byCustomer[LARGEST]!,
      others: computeMean(byCustomer.filter((_, rank) => rank !== LARGEST)),
      inTime: Object.fromEntries(byKind.map(([name, ofKind]) => [name, computeInTimeShare(ofKind)])),
      widestDecileInTime: Object.fromEntries(
        byKind.map(([name, ofKind]) => [name, computeInTimeShare(listWidestDecile(ofKind))]),
      ),
      longestMs: Math.max(...jobs.map(({ durationMs }) => durationMs)),
    };
  }

  private sendJob(kind: JobKind, customer: ReturnType<typeof createCustomer>, now: number): void {
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
      durationMs: Infinity,
    });
    this.dispatcher.handleJob(definition, new JobProgress(definition), now);
  }

  /** Draws the number of tasks from an exponential distribution with a maximum. */
  private chooseCount({ count, maxCount }: JobKind): number {
    const drawn = Math.round(-Math.log(1 - this.random()) * count);
    return Math.min(maxCount, Math.max(1, drawn));
  }

  private handleEffect(effect: DispatchEffect, now: number): void {
    if (effect.kind === 'start') {
      const { endpoint, command, job } = effect;
      this.dispatcher.handleStartRecorded(effect, now);
      this.dispatcher.handleStartResult(endpoint, command.task, command.run, { kind: 'done' }, now);
      const endsAt = now + this.jobs.get(job)!.workMs[Number(command.task.split('.')[3])]!;
      this.running.get(endpoint)!.push({ task: command.task, run: command.run, endsAt });
    } else if (effect.kind === 'tell' && effect.message === 'Job ended.') {
      const job = this.jobs.get(toId<JobId>(String(effect.fields['job'])))!;
      job.durationMs = now - job.sentAt;
    }
  }

  private sendEnds(now: number): void {
    for (const [endpoint, runs] of this.running) {
      const ended: EndedTaskStatus[] = runs
        .filter(({ endsAt }) => endsAt <= now)
        .map(({ task, run }) => ({ number: (this.endCount += 1), task, run, how: 'done', checkpoint: '' }));
      if (ended.length > 0) {
        const remaining = runs.filter(({ endsAt }) => endsAt > now);
        this.running.set(endpoint, remaining);
        const rows = remaining.map(({ task, run }) => ({ task, run, checkpoint: '', percent: 50, load: 0 }));
        this.dispatcher.handleStatus({ endpoint, running: rows, ended, pollSentAt: now }, now, now);
      }
    }
  }
}
