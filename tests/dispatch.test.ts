import fc from 'fast-check';
import { afterEach, describe, expect, it } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import type { Random } from '../packages/common/Random';
import { toId } from '../packages/common/toId';
import { waitForDelay } from '../packages/common/waitForDelay';
import { CustomerUsage } from '../packages/customers/CustomerUsage';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { PlacedRun } from '../packages/dispatch/runs/PlacedRun';
import type { EndedTaskStatus } from '../packages/dispatch/endpoints/EndedTaskStatus';
import type { EndpointProfile } from '../packages/dispatch/endpoints/EndpointProfile';
import { findStragglerReason } from '../packages/dispatch/runs/findStragglerReason';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { progressTexts } from '../packages/jobs/progressTexts';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import type { JobId } from '../packages/jobs/JobId';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobStep } from '../packages/jobs/JobStep';
import { parseProgress } from '../packages/jobs/parseProgress';
import type { TaskName } from '../packages/jobs/TaskName';
import { createCustomer } from './helpers/createCustomer';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const REST_MS = 5;
/** Yields to the test runner, which takes a worker for dead that blocks for too long. */
afterEach(() => waitForDelay(REST_MS));

const CPUS = 4000;
const LEASE_MS = 4000;
/** Limit of each customer: half of the capacity of the three endpoints. */
const LIMIT = { cpuMillis: 6000, memoryMb: 0, accelerators: 0 };
/** Number of simulations per test. */
const RUNS = Number(process.env['STAIRLINE_WORLDS'] ?? 60);
const SEED = Number(process.env['STAIRLINE_WORLD_SEED'] ?? 20261202);

const createJob = (number: number, steps: readonly JobStep[], attempts = 3, priority = 0): JobDefinition =>
  createJobDefinition(number, steps, { attempts, priority });

type Mutation =
  | 'none'
  | 'noLeaseWait'
  | 'ackBeforeRecord'
  | 'noFence'
  /** Runs placed by earlier leaders do not count against a customer's limit. */
  | 'usageNotInherited'
  /** A run counts as ended as soon as its stop is sent. */
  | 'stopCountsAsEnd';

interface SimulatedRun {
  readonly task: TaskName;
  readonly run: number;
  readonly endsAt: number;
  readonly how: EndedTaskStatus['how'];
}

/** An endpoint without checks of its own: runs what it is sent, obeys the highest token, and reports ends until acknowledged. */
interface SimulatedEndpoint {
  readonly profile: EndpointProfile;
  readonly runs: Map<TaskName, SimulatedRun>;
  readonly rejected: Map<TaskName, number>;
  ends: EndedTaskStatus[];
  endCount: number;
  lapsedUpTo: number;
  lastSeen: number;
  token: number;
  leasedUntil: number;
  isPartitioned: boolean;
  nextPollAt: number;
}

interface DelayedCall {
  readonly at: number;
  readonly token: number;
  readonly call: () => void;
}

/**
 * A simulated cluster on virtual time: successive leaders drive simulated endpoints, with commands that time out and are carried out
 * late, network partitions, and leaders that end at any moment, before or after their records are durable.
 */
class DispatcherSimulation {
  private readonly random: Random;
  private now = 0;
  private epoch = 0;
  private dispatcher!: Dispatcher;
  private readonly endpoints: SimulatedEndpoint[] = [];
  private readonly definitions = new Map<JobId, JobDefinition>();
  private readonly log = new Map<JobId, string>();
  private delayed: DelayedCall[] = [];
  private readonly doneRuns = new Map<TaskName, number>();
  private readonly startsAfterDone: { readonly task: TaskName; readonly doneRun: number }[] = [];
  readonly problems: string[] = [];

  constructor(
    seed: number,
    private readonly mutation: Mutation = 'none',
    /** Jobs differ in priority, so that gangs preempt others. */
    private readonly hasPriorities = false,
    /** Jobs belong to two customers, each limited to half of the processors. */
    private readonly hasCustomers = false,
  ) {
    this.random = createRandom(seed);
    for (let index = 0; index < 3; index += 1) {
      this.endpoints.push({
        profile: createProfile(`i-${index}`),
        runs: new Map(),
        rejected: new Map(),
        ends: [],
        endCount: 0,
        lapsedUpTo: 0,
        lastSeen: 0,
        token: 0,
        leasedUntil: Infinity,
        isPartitioned: false,
        nextPollAt: 0,
      });
    }
    this.startLeader();
  }

  /** Runs the given numbers of steps of 25 ms, with faults and then without, so that all work can end. */
  run(faultySteps: number, calmSteps: number): void {
    for (let step = 0; step < faultySteps + calmSteps; step += 1) {
      this.now += 25;
      const hasFaults = step < faultySteps;
      if (hasFaults) {
        this.applyFault();
      } else {
        this.endpoints.forEach((endpoint) => {
          endpoint.isPartitioned = false;
        });
      }
      this.runDelayedCalls();
      this.endpoints.forEach((endpoint) => this.runEndpoint(endpoint));
      this.endpoints.forEach((endpoint) => this.requestStatus(endpoint, hasFaults));
      this.dispatcher.handleTick(this.now);
      this.dispatcher.placeWaiting(this.now, this.now);
      this.applyEffects(hasFaults);
    }
  }

  listUnfinished(): readonly JobId[] {
    return [...this.definitions.values()]
      .filter((definition) => !this.readProgress(definition).isEnded())
      .map(({ id }) => id);
  }

  private applyFault(): void {
    const pick = this.random();
    if (pick < 0.1 && this.definitions.size < 25) {
      const steps = [
        createStep({ count: 1 + Math.floor(this.random() * 5), isGang: this.random() < 0.15 }),
        createStep({ count: 2, dependsOn: [0], isCheckpointing: this.random() < 0.5 }),
      ];
      const priority = this.hasPriorities ? this.definitions.size % 3 : 0;
      const job = createJob(this.definitions.size + 1, steps, 1000, priority);
      const owner = createCustomer(`customer-${this.definitions.size % 2}`, LIMIT);
      const definition = this.hasCustomers ? { ...job, customer: owner } : job;
      this.definitions.set(definition.id, definition);
      this.dispatcher.handleJob(definition, this.readProgress(definition), this.now);
    } else if (pick < 0.12) {
      this.startLeader();
    } else if (pick < 0.15) {
      const endpoint = this.endpoints[Math.floor(this.random() * this.endpoints.length)]!;
      endpoint.isPartitioned = !endpoint.isPartitioned;
    }
  }

  /** Starts another leader with what is durable; commands of the one before may still be under way. */
  private startLeader(): void {
    this.epoch += 1;
    const waitMs = this.mutation === 'noLeaseWait' ? 0 : LEASE_MS + 1000;
    this.dispatcher = new Dispatcher({
      earlierLeasesEndAt: this.now + waitMs,
      getDefinition: (id) => this.definitions.get(id),
    });
    this.endpoints.forEach(({ profile }) => this.dispatcher.handleEndpointProfile(profile));
    for (const definition of this.definitions.values()) {
      this.dispatcher.handleJob(definition, this.readProgress(definition), this.now);
    }
    if (this.mutation === 'usageNotInherited') {
      this.listPlacedRuns().forEach((run) => this.dispatcher.getCustomerUsage().recordRunEnd(run));
    }
    this.endpoints.forEach((endpoint) => {
      endpoint.lastSeen = 0;
      endpoint.nextPollAt = this.now;
    });
  }

  private readProgress(definition: JobDefinition): JobProgress {
    const text = this.log.get(definition.id);
    return text === undefined ? new JobProgress(definition) : parseProgress(definition, { text: text })!;
  }

  private applyEffects(hasFaults: boolean): void {
    const effects = this.dispatcher.takeEffects();
    const starts: Extract<DispatchEffect, { kind: 'start' }>[] = [];
    for (const effect of effects) {
      if (effect.kind === 'record') {
        const job = this.dispatcher.getJob(effect.job);
        if (job !== undefined) {
          this.log.set(effect.job, progressTexts.formatWhole(job.definition, job.progress));
        }
      } else if (effect.kind === 'start') {
        starts.push(effect);
      } else if (effect.kind === 'stop') {
        this.applyStopMutation(effect);
        this.sendStop(effect, hasFaults);
      }
    }
    starts.forEach((effect) => this.sendStart(effect, hasFaults));
    this.checkUsage();
  }

  private listPlacedRuns(): readonly PlacedRun[] {
    return this.endpoints.flatMap(({ profile }) => [
      ...(this.dispatcher.getEndpointState(profile.incarnation)?.getRuns() ?? []),
    ]);
  }

  private applyStopMutation({ endpoint, task, run }: Extract<DispatchEffect, { kind: 'stop' }>): void {
    const placed = this.dispatcher.getEndpointState(endpoint)?.getRun(task, run);
    if (this.mutation === 'stopCountsAsEnd' && placed !== undefined) {
      this.dispatcher.getCustomerUsage().recordRunEnd(placed);
    }
  }

  /** Checks that each customer's usage matches the placed runs. */
  private checkUsage(): void {
    if (!this.hasCustomers || this.mutation !== 'none') {
      return;
    }
    const placed = new CustomerUsage();
    this.listPlacedRuns().forEach((run) => placed.recordRun(run));
    const [counted, expected] = [this.dispatcher.getCustomerUsage(), placed].map((usage) =>
      JSON.stringify([...usage.getAllUsages()].sort()),
    );
    if (counted !== expected) {
      this.problems.push(`usage ${counted} for ${expected}`);
    }
  }

  /** Checks that the running tasks of a customer are within its limit. */
  private checkLimit(task: TaskName): void {
    const getOwner = (name: string): string | undefined =>
      this.definitions.get(name.split('.')[0] as JobId)?.customer?.name;
    const owner = getOwner(task);
    const running = this.endpoints.flatMap(({ runs }) => [...runs.keys()]);
    const count = running.filter((other) => getOwner(other) === owner).length;
    if (owner !== undefined && count * 1000 > LIMIT.cpuMillis) {
      this.problems.push(`${owner} has ${count} tasks running`);
    }
  }

  private sendStart(effect: Extract<DispatchEffect, { kind: 'start' }>, hasFaults: boolean): void {
    const endpoint = this.endpoints.find(({ profile }) => profile.incarnation === effect.endpoint)!;
    if (!this.dispatcher.handleStartRecorded(effect, this.now)) {
      return;
    }
    const { task, run } = effect.command;
    const token = this.epoch;
    const leasedUntil = this.now + LEASE_MS;
    this.dispatcher.getEndpointState(effect.endpoint)?.recordLease(leasedUntil + 100);
    const call = (): void => this.startRun(endpoint, task, run, leasedUntil);
    const isLost = endpoint.isPartitioned || (hasFaults && this.random() < 0.15);
    if (isLost) {
      if (this.random() < 0.6) {
        this.delayed.push({ at: this.now + 200 + this.random() * 6000, token, call });
      }
      this.dispatcher.handleStartResult(
        effect.endpoint,
        task,
        run,
        { kind: 'unanswered', detail: '' },
        this.now,
      );
      return;
    }
    call();
    this.dispatcher.handleStartResult(effect.endpoint, task, run, { kind: 'done' }, this.now);
  }

  private sendStop(effect: Extract<DispatchEffect, { kind: 'stop' }>, hasFaults: boolean): void {
    const endpoint = this.endpoints.find(({ profile }) => profile.incarnation === effect.endpoint);
    if (endpoint === undefined || endpoint.isPartitioned || (hasFaults && this.random() < 0.15)) {
      return;
    }
    this.stopRun(endpoint, effect.task, effect.run);
    this.dispatcher.handleStopResult(effect.endpoint, effect.task, effect.run, { kind: 'done' }, this.now);
  }

  private runDelayedCalls(): void {
    const due = this.delayed.filter(({ at }) => at <= this.now);
    this.delayed = this.delayed.filter(({ at }) => at > this.now);
    for (const { token, call } of due) {
      const isTokenCurrent = (endpoint: SimulatedEndpoint): boolean =>
        this.mutation === 'noFence' || token >= endpoint.token;
      this.canExecute = isTokenCurrent;
      call();
      this.canExecute = () => true;
    }
  }

  private canExecute: (endpoint: SimulatedEndpoint) => boolean = () => true;

  private startRun(endpoint: SimulatedEndpoint, task: TaskName, run: number, leasedUntil: number): void {
    const isRejected = (endpoint.rejected.get(task) ?? 0) >= run;
    if (!this.canExecute(endpoint) || isRejected || leasedUntil <= this.now || endpoint.runs.has(task)) {
      return;
    }
    const others = this.endpoints.filter((other) => other.runs.has(task));
    if (others.length > 0) {
      this.problems.push(`${task} run ${run} beside run ${others[0]!.runs.get(task)!.run}`);
    }
    const doneRun = this.doneRuns.get(task);
    if (doneRun !== undefined) {
      this.startsAfterDone.push({ task, doneRun });
    }
    endpoint.leasedUntil =
      endpoint.leasedUntil === Infinity ? leasedUntil : Math.max(endpoint.leasedUntil, leasedUntil);
    const how = this.random() < 0.1 ? 'failed' : 'done';
    endpoint.runs.set(task, { task, run, endsAt: this.now + 200 + this.random() * 400, how });
    if (endpoint.runs.size * 1000 > CPUS) {
      this.problems.push(`${endpoint.profile.incarnation} holds ${endpoint.runs.size} tasks`);
    }
    this.checkLimit(task);
  }

  private stopRun(endpoint: SimulatedEndpoint, task: TaskName, run: number): void {
    endpoint.rejected.set(task, Math.max(endpoint.rejected.get(task) ?? 0, run));
    if (endpoint.runs.get(task)?.run === run) {
      this.recordEnd(endpoint, task, 'stopped');
    }
  }

  private runEndpoint(endpoint: SimulatedEndpoint): void {
    for (const run of [...endpoint.runs.values()]) {
      if (run.endsAt <= this.now) {
        this.recordEnd(endpoint, run.task, run.how);
      }
    }
    if (endpoint.leasedUntil <= this.now) {
      endpoint.lapsedUpTo = endpoint.endCount;
      [...endpoint.runs.keys()].forEach((task) => this.recordEnd(endpoint, task, 'lapsed'));
    }
  }

  private recordEnd(endpoint: SimulatedEndpoint, task: TaskName, how: EndedTaskStatus['how']): void {
    const run = endpoint.runs.get(task)!;
    endpoint.runs.delete(task);
    endpoint.rejected.set(task, Math.max(endpoint.rejected.get(task) ?? 0, run.run));
    endpoint.endCount += 1;
    endpoint.ends.push({ number: endpoint.endCount, task, run: run.run, how, checkpoint: '' });
    if (how === 'done' && !this.doneRuns.has(task)) {
      this.doneRuns.set(task, run.run);
    }
  }

  private requestStatus(endpoint: SimulatedEndpoint, hasFaults: boolean): void {
    const { incarnation: id } = endpoint.profile;
    if (endpoint.nextPollAt > this.now) {
      return;
    }
    const state = this.dispatcher.getEndpointState(id)!;
    endpoint.nextPollAt = this.now + 50;
    if (endpoint.isPartitioned || (hasFaults && this.random() < 0.05)) {
      this.dispatcher.handleEndpointUnreachable(id, this.now);
      return;
    }
    endpoint.token = Math.max(endpoint.token, this.epoch);
    this.removeAcknowledged(endpoint);
    if (state.isSynced() && state.getUnreachableSince() === undefined) {
      endpoint.leasedUntil = this.now + LEASE_MS;
      state.recordLease(this.now + LEASE_MS + 100);
    }
    const running = [...endpoint.runs.values()].map(({ task, run }) => ({
      task,
      run,
      checkpoint: '',
      // With priorities, progress is low, so that most runs may be preempted.
      percent: this.hasPriorities ? 20 : 50,
      load: 0,
    }));
    const ended = [...endpoint.ends];
    const status = { endpoint: id, running, ended, pollSentAt: this.now };
    if (this.mutation === 'ackBeforeRecord') {
      endpoint.lastSeen = endpoint.endCount;
      this.removeAcknowledged(endpoint);
      if (this.random() < 0.05) {
        this.startLeader();
        return;
      }
    }
    this.dispatcher.handleStatus(status, this.now, this.now);
    this.applyEffects(hasFaults);
    endpoint.lastSeen = ended.reduce((highest, { number }) => Math.max(highest, number), endpoint.lastSeen);
  }

  /** Removes acknowledged ends, and records those that were acknowledged within their lease. */
  private removeAcknowledged(endpoint: SimulatedEndpoint): void {
    for (const end of endpoint.ends) {
      const isAcknowledged = end.number <= endpoint.lastSeen && end.number > endpoint.lapsedUpTo;
      if (isAcknowledged && end.how === 'done') {
        this.acknowledgedRuns.add(`${end.task}#${end.run}`);
      }
    }
    endpoint.ends = endpoint.ends.filter(({ number }) => number > endpoint.lastSeen);
  }

  private readonly acknowledgedRuns = new Set<string>();

  /** Lists starts of tasks that were done, if that end was acknowledged, even later. */
  listRepeatedRuns(): readonly string[] {
    return this.startsAfterDone
      .filter(({ task, doneRun }) => this.acknowledgedRuns.has(`${task}#${doneRun}`))
      .map(({ task, doneRun }) => `${task} after run ${doneRun} was done`);
  }
}

/** Runs a simulation and returns the problems found. */
const runSimulation = (
  seed: number,
  mutation?: ConstructorParameters<typeof DispatcherSimulation>[1],
  hasPriorities?: boolean,
  hasCustomers?: boolean,
): readonly string[] => {
  const simulation = new DispatcherSimulation(seed, mutation, hasPriorities, hasCustomers);
  simulation.run(1200, 900);
  const unfinished = simulation.listUnfinished().map((id) => `${id} is not finished`);
  return [...simulation.problems, ...simulation.listRepeatedRuns(), ...unfinished];
};

/** Returns true when one of 40 seeds finds a problem. */
const hasFailingSeed = (mutation: Mutation, hasCustomers = false): boolean =>
  Array.from({ length: 40 }, (_, seed) => seed).some(
    (seed) => runSimulation(seed, mutation, hasCustomers, hasCustomers).length > 0,
  );

describe('the dispatcher', () => {
  it(
    'overcommits no endpoint, runs no task twice and finishes every job despite lost commands, partitions and leader changes',
    () => {
      fc.assert(
        fc.property(fc.integer({ min: 0, max: 1_000_000 }), (seed) => {
          expect(runSimulation(seed)).toEqual([]);
        }),
        { numRuns: RUNS, seed: SEED },
      );
    },
    RUNS * 2000,
  );

  it(
    'keeps the same guarantees while gangs preempt work of lower priority',
    () => {
      fc.assert(
        fc.property(fc.integer({ min: 0, max: 1_000_000 }), (seed) => {
          expect(runSimulation(seed, 'none', true)).toEqual([]);
        }),
        { numRuns: RUNS, seed: SEED },
      );
    },
    RUNS * 2000,
  );

  it(
    'keeps customers within their limits at any time, and tracks their usage',
    () => {
      fc.assert(
        fc.property(fc.integer({ min: 0, max: 1_000_000 }), fc.boolean(), (seed, hasPriorities) => {
          expect(runSimulation(seed, 'none', hasPriorities, true)).toEqual([]);
        }),
        { numRuns: RUNS, seed: SEED },
      );
    },
    RUNS * 2000,
  );

  it.each(['usageNotInherited', 'stopCountsAsEnd'] as const)(
    'detects wrong accounting of customers: %s',
    (mutation) => {
      expect(hasFailingSeed(mutation, true)).toBe(true);
    },
  );

  it('finishes a gang of which one member is done and the ends of others were lost', () => {
    expect(runSimulation(475780)).toEqual([]);
  });

  it.each(['noLeaseWait', 'ackBeforeRecord', 'noFence'] as const)(
    'detects a broken protocol: %s',
    (mutation) => {
      expect(hasFailingSeed(mutation)).toBe(true);
    },
  );

  it('parses progress as it was formatted', () => {
    const definition = createJob(1, [createStep({ count: 3 })]);
    const progress = new JobProgress(definition);
    const endpoint = toId<EndpointIncarnation>('i-0');
    progress.recordRunPlaced({ repetition: 0, step: 0, index: 0 }, 1, endpoint);
    progress.recordRunPlaced({ repetition: 0, step: 0, index: 1 }, 1, endpoint);
    progress.recordRunEnd({ repetition: 0, step: 0, index: 1 }, 1, 'failed', 'saved');
    progress.recordRunPlaced({ repetition: 0, step: 0, index: 2 }, 1, endpoint);
    progress.recordRunEnd({ repetition: 0, step: 0, index: 2 }, 1, 'done', '');
    const text = progressTexts.formatWhole(definition, progress);
    const read = parseProgress(definition, { text: text })!;
    expect(progressTexts.formatWhole(definition, read)).toBe(text);
    expect(read.listTasks(0, 0)).toEqual(progress.listTasks(0, 0));
    expect(read.countOpenTasks(0, 0)).toBe(2);
  });
});

describe('an endpoint that leaves', () => {
  /** Creates a dispatcher with a long-running task that runs on the first of two endpoints. */
  const createRunningTask = () => {
    const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    const [first, second] = [createProfile('i-0'), createProfile('i-1')];
    const definition = createJob(1, [createStep({ count: 1, isLongRunning: true, missAllowed: 1 })]);
    dispatcher.handleEndpointProfile(first);
    dispatcher.handleStatus({ endpoint: first.incarnation, running: [], ended: [], pollSentAt: 0 }, 1, 1);
    dispatcher.handleJob(definition, new JobProgress(definition), 1);
    dispatcher.placeWaiting(2, 2);
    const start = dispatcher.takeEffects().find((effect) => effect.kind === 'start') as Extract<
      DispatchEffect,
      { kind: 'start' }
    >;
    dispatcher.handleStartRecorded(start, 3);
    dispatcher.handleStartResult(first.incarnation, start.command.task, 1, { kind: 'done' }, 4);
    dispatcher.handleEndpointProfile(second);
    dispatcher.handleStatus({ endpoint: second.incarnation, running: [], ended: [], pollSentAt: 5 }, 6, 6);
    return { dispatcher, first, second };
  };

  const takeStops = (dispatcher: Dispatcher) =>
    dispatcher.takeEffects().filter((effect) => effect.kind === 'stop');

  it('keeps its runs when only its record is removed, and gets no more starts', () => {
    const { dispatcher, first } = createRunningTask();
    dispatcher.handleEndpointDeregistered(first.incarnation);
    dispatcher.handleTick(1000);
    expect(takeStops(dispatcher)).toEqual([]);
    expect(dispatcher.getEndpointState(first.incarnation)?.isSchedulable()).toBe(false);
  });

  it('has long-running tasks moved away when it drains', () => {
    const { dispatcher, first } = createRunningTask();
    dispatcher.handleEndpointProfile({ ...first, isDraining: true, minDrainMs: 2000 });
    dispatcher.handleTick(1000);
    expect(takeStops(dispatcher)).toHaveLength(1);
  });
});

describe('stragglers', () => {
  const baseline = { pace: 8, baselinePace: 8, percent: 50, stalledMs: 0, moveMs: 300 };

  it('include no run as fast as its siblings, and no slow one that is nearly done', () => {
    expect(findStragglerReason(baseline)).toBeUndefined();
    expect(findStragglerReason({ ...baseline, pace: 40, percent: 95 })).toBeUndefined();
  });

  it('include runs that are several times slower, and stalled ones', () => {
    expect(findStragglerReason({ ...baseline, pace: 52, percent: 8 })).toBe('slow');
    expect(findStragglerReason({ ...baseline, stalledMs: 1000 })).toBe('stalled');
  });
});
