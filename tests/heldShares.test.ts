import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { CustomerName } from '../packages/customers/CustomerName';
import { CustomerUsage } from '../packages/customers/CustomerUsage';
import { LiveJob } from '../packages/dispatch/waiting/LiveJob';
import { computeCriticalPaths } from '../packages/jobs/computeCriticalPaths';
import type { PlacementOrder } from '../packages/dispatch/waiting/PlacementOrder';
import { placementOrders } from '../packages/dispatch/waiting/placementOrders';
import type { WaitingStep } from '../packages/dispatch/waiting/WaitingStep';
import type { JobCustomer } from '../packages/customers/JobCustomer';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { TaskDemand } from '../packages/jobs/TaskDemand';
import { computeDominantShare } from '../packages/load/computeDominantShare';
import { computeFairShares } from '../packages/load/computeFairShares';
import { createCustomer } from './helpers/createCustomer';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';
import { ShareSimulation } from './helpers/ShareSimulation';

const CAPACITY: TaskDemand = { cpuMillis: 10_000, memoryMb: 100_000, accelerators: 0 };
const toCpu = (cpuMillis: number): TaskDemand => ({ cpuMillis, memoryMb: 0, accelerators: 0 });
const toName = (name: string): CustomerName => toId<CustomerName>(name);

describe('fair shares', () => {
  const computeShares = (
    demands: readonly (readonly [string, number, number])[],
    capacityShare = 1,
  ): Record<string, number> =>
    Object.fromEntries(
      computeFairShares(
        demands.map(([name, weight, demandedShare]) => ({ customer: toName(name), weight, demandedShare })),
        capacityShare,
      ),
    );

  it('follow the weights, and redistribute unused shares', () => {
    expect(
      computeShares([
        ['a', 1, 5],
        ['b', 3, 5],
      ]),
    ).toEqual({ a: 0.25, b: 0.75 });
    expect(
      computeShares([
        ['a', 1, 5],
        ['b', 2, 0.1],
        ['c', 1, 5],
      ]),
    ).toEqual({ b: 0.1, a: 0.45, c: 0.45 });
    expect(
      computeShares([
        ['a', 1, 0.2],
        ['b', 9, 0.3],
      ]),
    ).toEqual({ a: 0.2, b: 0.3 });
    expect(computeShares([['a', 1, 0.2]], 0)).toEqual({ a: 0 });
    expect(computeShares([])).toEqual({});
  });

  it('are measured in the dominant resource', () => {
    const demand = { cpuMillis: 1000, memoryMb: 50_000, accelerators: 3 };
    expect(computeDominantShare(demand, CAPACITY)).toBe(0.5);
    expect(computeDominantShare(demand, toCpu(0))).toBe(0);
  });
});

describe('the critical path', () => {
  it('runs from a step through its dependent steps', () => {
    const steps = [
      createStep({ estimatedMs: 100 }),
      createStep({ estimatedMs: 50, dependsOn: [0] }),
      createStep({ estimatedMs: 70, dependsOn: [0] }),
      createStep({ estimatedMs: 10, dependsOn: [1, 2] }),
      createStep({ estimatedMs: 900, isLongRunning: true }),
    ];
    expect(computeCriticalPaths(steps)).toEqual([180, 60, 80, 10, 0]);
  });
});

describe('the placement order `held`', () => {
  const [big, small] = [createCustomer('big', {}, 3), createCustomer('small', {}, 1)];
  /** A time slice in which expired steps don't go first. */
  const wallMs = 10_000 + 100;

  const createWaiting = (
    name: string,
    fields: {
      customer?: JobCustomer;
      objectiveAtMs?: number;
      estimatedMs?: number;
      count?: number;
      priority?: number;
    },
  ): WaitingStep & { readonly name: string } => {
    const { customer, objectiveAtMs = wallMs + 5000, estimatedMs = 400, count = 2, priority = 0 } = fields;
    const shape = createStep({ count, estimatedMs });
    const definition = {
      ...createJobDefinition(1, [shape], { priority }),
      ...(customer === undefined ? {} : { customer }),
      acceptedAtMs: wallMs - 2000,
    };
    const job = new LiveJob(definition, new JobProgress(definition), 0);
    const indexes = Array.from({ length: count }, (_, index) => index);
    return { name, job, repetition: 0, step: 0, shape, indexes, objectiveAtMs };
  };

  interface SortOptions {
    readonly order?: PlacementOrder;
    readonly atMs?: number;
    readonly usageByCustomer?: ReadonlyMap<JobCustomer, number>;
    readonly estimateMinRemainingMs?: () => number;
  }

  const sortNames = (
    waiting: readonly WaitingStep[],
    { order = 'held', atMs = wallMs, usageByCustomer = new Map(), ...estimates }: SortOptions = {},
  ): readonly string[] => {
    const usage = new CustomerUsage();
    usageByCustomer.forEach((cpuMillis, { name }) =>
      usage.recordRun({ customer: name, charge: toCpu(cpuMillis) }),
    );
    const input = { wallMs: atMs, usage, getTotalCapacity: () => CAPACITY, ...estimates };
    return placementOrders[order]
      .sortSteps(waiting, input)
      .map((step) => (step as { name?: string }).name ?? '');
  };

  it('puts steps that can be in time first, then useful late ones, by their latest start time', () => {
    const waiting = [
      createWaiting('useless', { customer: big, objectiveAtMs: wallMs - 1900 }),
      createWaiting('late', { customer: big, objectiveAtMs: wallMs - 100 }),
      createWaiting('long', { customer: big, objectiveAtMs: wallMs + 3000, estimatedMs: 12_000 }),
      createWaiting('short', { customer: big, objectiveAtMs: wallMs + 2000 }),
    ];
    expect(sortNames(waiting)).toEqual(['long', 'short', 'late', 'useless']);
    const learned = createWaiting('learnt', { customer: big, objectiveAtMs: wallMs + 700 });
    const learntMs = { estimateMinRemainingMs: () => 800 };
    expect(sortNames([learned, ...waiting], learntMs)).toEqual([
      'short',
      'long',
      'late',
      'learnt',
      'useless',
    ]);
  });

  it('puts the steps of a burst that are over the fair share behind others, within one round', () => {
    const burst = Array.from({ length: 6 }, (_, index) =>
      createWaiting(`big-${index}`, { customer: big, objectiveAtMs: wallMs + 1000 + index }),
    );
    const others = ['small-0', 'small-1'].map((name) => createWaiting(name, { customer: small }));
    // The fair share of the large customer is 7.5 of ten cores, so its first four steps of two cores begin within it.
    const expected = ['big-0', 'big-1', 'big-2', 'big-3', 'small-0', 'small-1', 'big-4', 'big-5'];
    expect(sortNames([...burst, ...others])).toEqual(expected);
  });

  it('counts running tasks, and redistributes the shares of idle customers', () => {
    const waiting = [
      createWaiting('big', { customer: big, objectiveAtMs: wallMs + 1000 }),
      createWaiting('small', { customer: small, count: 3 }),
    ];
    expect(sortNames(waiting, { usageByCustomer: new Map([[big, 8000]]) })).toEqual(['small', 'big']);
    expect(sortNames(waiting, { usageByCustomer: new Map([[big, 5000]]) })).toEqual(['big', 'small']);
    const alone = [0, 1].map((index) => createWaiting(`big-${index}`, { customer: big }));
    const mixed = [createWaiting('nobody', { objectiveAtMs: wallMs + 9000 }), ...alone];
    expect(sortNames(mixed, { usageByCustomer: new Map([[big, 6000]]) })).toEqual([
      'big-0',
      'big-1',
      'nobody',
    ]);
  });

  it('does not count waiting steps of another priority', () => {
    const waiting = [
      createWaiting('wide', { customer: small, count: 8 }),
      createWaiting('small', { customer: small, priority: 1, objectiveAtMs: wallMs + 4000 }),
      createWaiting('big', { customer: big, priority: 1, count: 8 }),
    ];
    expect(sortNames(waiting)).toEqual(['wide', 'small', 'big']);
  });

  it('puts expired steps first in an eighth of the time slices', () => {
    const waiting = [
      createWaiting('late', { customer: big, objectiveAtMs: 1 }),
      createWaiting('new', { customer: small }),
    ];
    const firstNames = Array.from(
      { length: 80 },
      (_, slice) => sortNames(waiting, { atMs: wallMs + slice * 100 })[0],
    );
    expect(firstNames.filter((name) => name === 'late')).toHaveLength(10);
  });

  it('equals `shares` when no customer has a weight', () => {
    const unowned = createCustomer('unowned');
    const waiting = Array.from({ length: 40 }, (_, index) =>
      createWaiting(`${index}`, {
        ...(index % 3 === 0 ? { customer: unowned } : {}),
        objectiveAtMs: wallMs + ((index * 7919) % 4000) - 2000,
        estimatedMs: (index * 31) % 900,
      }),
    );
    for (let slice = 0; slice < 8; slice += 1) {
      const atMs = wallMs + slice * 100;
      expect(sortNames(waiting, { atMs })).toEqual(sortNames(waiting, { order: 'shares', atMs }));
    }
  });
});

type Outcome = ReturnType<ShareSimulation['computeOutcome']>;

const SEEDS = [1, 2];
/** Minimum gain in the share of value that the other customers are served. */
const MIN_GAIN = 0.02;
/** Maximum loss in the share of value that all customers are served. */
const MAX_LOSS = 0.02;

const runSimulations = (order: PlacementOrder, load: number): readonly Outcome[] =>
  SEEDS.map((seed) => {
    const simulation = new ShareSimulation({ order, load, seed });
    simulation.run();
    return simulation.computeOutcome();
  });

const computeMean = (outcomes: readonly Outcome[], getValue: (outcome: Outcome) => number): number =>
  outcomes.reduce((sum, outcome) => sum + getValue(outcome), 0) / outcomes.length;

/** The largest of 20 customers with heavy-tailed weights sends six times its normal load for six of twenty seconds. */
describe.each([1, 1.2])('a burst of one customer at a load of %s', (load) => {
  it(
    'does not take the shares of others under `held`, and starves neither that customer nor wide jobs',
    { timeout: 120_000 },
    () => {
      const [shares, held] = [runSimulations('shares', load), runSimulations('held', load)];
      const getOthers = ({ others }: Outcome): number => others;
      expect(computeMean(held, getOthers)).toBeGreaterThan(computeMean(shares, getOthers) + MIN_GAIN);
      expect(computeMean(held, ({ all }) => all)).toBeGreaterThan(
        computeMean(shares, ({ all }) => all) - MAX_LOSS,
      );
      expect(computeMean(held, ({ hot }) => hot)).toBeGreaterThan(computeMean(held, getOthers) / 2);
      for (const kind of ['gang', 'wide', 'urgent']) {
        const inTime = computeMean(held, (outcome) => outcome.inTime[kind]!);
        expect(computeMean(held, (outcome) => outcome.widestDecileInTime[kind]!)).toBeGreaterThanOrEqual(
          inTime / 2,
        );
      }
    },
  );
});
