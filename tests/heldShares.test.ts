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
import { ShareLoad } from './helpers/ShareLoad';

const CAPACITY: TaskDemand = { cpuMillis: 10_000, memoryMb: 100_000, accelerators: 0 };
const toCpu = (cpuMillis: number): TaskDemand => ({ cpuMillis, memoryMb: 0, accelerators: 0 });
const toName = (name: string): CustomerName => toId<CustomerName>(name);

describe('what customers are owed', () => {
  const owe = (claims: readonly (readonly [string, number, number])[], part = 1): Record<string, number> =>
    Object.fromEntries(
      computeFairShares(
        claims.map(([name, weight, demandedShare]) => ({ customer: toName(name), weight, demandedShare })),
        part,
      ),
    );

  it('goes by their weights, and what one leaves goes to the others', () => {
    expect(
      owe([
        ['a', 1, 5],
        ['b', 3, 5],
      ]),
    ).toEqual({ a: 0.25, b: 0.75 });
    expect(
      owe([
        ['a', 1, 5],
        ['b', 2, 0.1],
        ['c', 1, 5],
      ]),
    ).toEqual({ b: 0.1, a: 0.45, c: 0.45 });
    expect(
      owe([
        ['a', 1, 0.2],
        ['b', 9, 0.3],
      ]),
    ).toEqual({ a: 0.2, b: 0.3 });
    expect(owe([['a', 1, 0.2]], 0)).toEqual({ a: 0 });
    expect(owe([])).toEqual({});
  });

  it('counts the resource of which they hold most', () => {
    const room = { cpuMillis: 1000, memoryMb: 50_000, accelerators: 3 };
    expect(computeDominantShare(room, CAPACITY)).toBe(0.5);
    expect(computeDominantShare(room, toCpu(0))).toBe(0);
  });
});

describe('the longest chain of work that is left', () => {
  it('runs from a step through those that wait for it', () => {
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

describe('the order by what is held', () => {
  const [big, small] = [createCustomer('big', {}, 3), createCustomer('small', {}, 1)];
  /** No turn in which late work goes first. */
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
    return { name, job, time: 0, step: 0, shape, indexes, objectiveAtMs };
  };

  interface ReadOptions {
    readonly order?: PlacementOrder;
    readonly atMs?: number;
    readonly held?: ReadonlyMap<JobCustomer, number>;
    readonly readRemainingMs?: () => number;
  }

  const readOrder = (
    waiting: readonly WaitingStep[],
    { order = 'held', atMs = wallMs, held = new Map(), ...times }: ReadOptions = {},
  ): readonly string[] => {
    const usage = new CustomerUsage();
    held.forEach((cpuMillis, { name }) => usage.recordRun({ customer: name, charge: toCpu(cpuMillis) }));
    const input = { wallMs: atMs, usage, readCapacity: () => CAPACITY, ...times };
    return placementOrders[order]
      .sortSteps(waiting, input)
      .map((step) => (step as { name?: string }).name ?? '');
  };

  it('begins with what can be in time, then late work of use, by the time by which each has to start', () => {
    const waiting = [
      createWaiting('useless', { customer: big, objectiveAtMs: wallMs - 1900 }),
      createWaiting('late', { customer: big, objectiveAtMs: wallMs - 100 }),
      createWaiting('long', { customer: big, objectiveAtMs: wallMs + 3000, estimatedMs: 12_000 }),
      createWaiting('short', { customer: big, objectiveAtMs: wallMs + 2000 }),
    ];
    expect(readOrder(waiting)).toEqual(['long', 'short', 'late', 'useless']);
    const learnt = createWaiting('learnt', { customer: big, objectiveAtMs: wallMs + 700 });
    const learntMs = { readRemainingMs: () => 800 };
    expect(readOrder([learnt, ...waiting], learntMs)).toEqual(['short', 'long', 'late', 'learnt', 'useless']);
  });

  it('puts a burst behind others from where it takes more than its share, within one round', () => {
    const burst = Array.from({ length: 6 }, (_, index) =>
      createWaiting(`big-${index}`, { customer: big, objectiveAtMs: wallMs + 1000 + index }),
    );
    const others = ['small-0', 'small-1'].map((name) => createWaiting(name, { customer: small }));
    // Of ten cores the large one is owed 7.5, so that its first four steps of two cores begin within its share.
    const expected = ['big-0', 'big-1', 'big-2', 'big-3', 'small-0', 'small-1', 'big-4', 'big-5'];
    expect(readOrder([...burst, ...others])).toEqual(expected);
  });

  it('counts what is running, and gives an idle share to those who have work', () => {
    const waiting = [
      createWaiting('big', { customer: big, objectiveAtMs: wallMs + 1000 }),
      createWaiting('small', { customer: small, count: 3 }),
    ];
    expect(readOrder(waiting, { held: new Map([[big, 8000]]) })).toEqual(['small', 'big']);
    expect(readOrder(waiting, { held: new Map([[big, 5000]]) })).toEqual(['big', 'small']);
    const alone = [0, 1].map((index) => createWaiting(`big-${index}`, { customer: big }));
    const mixed = [createWaiting('nobody', { objectiveAtMs: wallMs + 9000 }), ...alone];
    expect(readOrder(mixed, { held: new Map([[big, 6000]]) })).toEqual(['big-0', 'big-1', 'nobody']);
  });

  it('does not count what waits at another priority, which may wait for long', () => {
    const waiting = [
      createWaiting('wide', { customer: small, count: 8 }),
      createWaiting('small', { customer: small, priority: 1, objectiveAtMs: wallMs + 4000 }),
      createWaiting('big', { customer: big, priority: 1, count: 8 }),
    ];
    expect(readOrder(waiting)).toEqual(['wide', 'small', 'big']);
  });

  it('lets what is past its use go first in an eighth of the time', () => {
    const waiting = [
      createWaiting('late', { customer: big, objectiveAtMs: 1 }),
      createWaiting('new', { customer: small }),
    ];
    const turns = Array.from(
      { length: 80 },
      (_, turn) => readOrder(waiting, { atMs: wallMs + turn * 100 })[0],
    );
    expect(turns.filter((name) => name === 'late')).toHaveLength(10);
  });

  it('is the usual one where nobody has a weight', () => {
    const unowned = createCustomer('unowned');
    const waiting = Array.from({ length: 40 }, (_, index) =>
      createWaiting(`${index}`, {
        ...(index % 3 === 0 ? { customer: unowned } : {}),
        objectiveAtMs: wallMs + ((index * 7919) % 4000) - 2000,
        estimatedMs: (index * 31) % 900,
      }),
    );
    for (let turn = 0; turn < 8; turn += 1) {
      const atMs = wallMs + turn * 100;
      expect(readOrder(waiting, { atMs })).toEqual(readOrder(waiting, { order: 'shares', atMs }));
    }
  });
});

type Outcome = ReturnType<ShareLoad['readOutcome']>;

const SEEDS = [1, 2];
/** What the others have to get more of what they sent, at the least, for the order to be worth having. */
const GAIN = 0.02;
/** What all together may lose by it. */
const LOSS = 0.02;

const startLoad = (order: PlacementOrder, load: number): readonly Outcome[] =>
  SEEDS.map((seed) => {
    const world = new ShareLoad({ order, load, seed });
    world.startPlay();
    return world.readOutcome();
  });

const toMean = (outcomes: readonly Outcome[], readPart: (outcome: Outcome) => number): number =>
  outcomes.reduce((sum, outcome) => sum + readPart(outcome), 0) / outcomes.length;

/** The load: the largest of 20 customers with heavy-tailed weights sends six times its usual for six of twenty seconds. */
describe.each([1, 1.2])('a hot customer beside others that ask for %s of all room', (load) => {
  it(
    'does not push them out of their shares, and neither it nor wide jobs are starved',
    { timeout: 120_000 },
    () => {
      const [shares, held] = [startLoad('shares', load), startLoad('held', load)];
      const readOthers = ({ others }: Outcome): number => others;
      expect(toMean(held, readOthers)).toBeGreaterThan(toMean(shares, readOthers) + GAIN);
      expect(toMean(held, ({ all }) => all)).toBeGreaterThan(toMean(shares, ({ all }) => all) - LOSS);
      expect(toMean(held, ({ hot }) => hot)).toBeGreaterThan(toMean(held, readOthers) / 2);
      for (const kind of ['gang', 'wide', 'urgent']) {
        const inTime = toMean(held, (outcome) => outcome.inTime[kind]!);
        expect(toMean(held, (outcome) => outcome.widestInTime[kind]!)).toBeGreaterThanOrEqual(inTime / 2);
      }
    },
  );
});
