import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { CustomerName } from '../packages/customers/CustomerName';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { TaskDemand } from '../packages/jobs/TaskDemand';
import { createDigest } from '../packages/load/createDigest';
import { formatDigest } from '../packages/load/formatDigest';
import type { LoadDigest } from '../packages/load/LoadDigest';
import { loadKeys } from '../packages/load/loadKeys';
import type { LoadSnapshot } from '../packages/load/LoadSnapshot';
import { LoadPublisher } from '../packages/load/LoadPublisher';
import { LoadView } from '../packages/load/LoadView';
import { parseDigest } from '../packages/load/parseDigest';
import { StartRates } from '../packages/load/StartRates';
import { createCustomer } from './helpers/createCustomer';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const toCustomerName = (name: string): CustomerName => toId<CustomerName>(name);
const toCpuDemand = (cpuMillis: number): TaskDemand => ({ cpuMillis, memoryMb: 0, accelerators: 0 });

const createSnapshot = (queueCount: number, customerCount = queueCount): LoadSnapshot => ({
  capacity: toCpuDemand(16_000_000),
  freeCpuMillis: 1_234_567,
  queues: Array.from({ length: queueCount }, (_, number) => ({
    queue: `${'queue'.repeat(5)}-${number}`,
    waitingTasks: number * 1000,
    waitingCpuMillis: 123_456_789,
    runningCpuMillis: 123_456_789,
  })),
  customers: new Map(
    Array.from({ length: customerCount }, (_, number) => [
      toCustomerName(`${'owner'.repeat(5)}-${number}`),
      {
        weight: 1,
        waitingTasks: number * 1000,
        waitingDemand: toCpuDemand(1_234_567),
        usedResources: toCpuDemand(1_234_567),
      },
    ]),
  ),
  otherCustomersShare: 0,
});

const createLoad = (fields: Partial<LoadDigest> = {}): LoadDigest => ({
  ...createDigest({
    epoch: 3,
    sequence: 1,
    madeAtMs: 1000,
    snapshot: createSnapshot(3),
    getStartsPerSecond: () => 100,
  }),
  ...fields,
});

describe('a load digest', () => {
  it('contains the rows with most waiting tasks, and stays below 2 kB', () => {
    const digest = createDigest({
      epoch: 12_345,
      sequence: 12_345,
      madeAtMs: 1_800_000_000_000,
      snapshot: createSnapshot(200),
      getStartsPerSecond: () => 0.3333,
    });
    expect(digest.queues.map(({ waitingTasks }) => waitingTasks).slice(0, 2)).toEqual([199_000, 198_000]);
    expect(digest.customers[0]!.waitingTasks).toBe(199_000);
    expect(formatDigest(digest).length).toBeLessThan(2000);
  });

  it('expects a new task to wait for the starts before it, and expects no wait while the rate is unknown', () => {
    const computeWait = (rate: number | undefined): number | undefined =>
      createDigest({ ...createLoad(), snapshot: createSnapshot(2), getStartsPerSecond: () => rate }).queues[0]
        ?.expectedWaitMs;
    expect(computeWait(200)).toBe(5000);
    expect(computeWait(0)).toBe(60_000);
    expect(computeWait(undefined)).toBe(0);
  });

  it('gives the dominant share and the fair share of customers', () => {
    const half = {
      waitingTasks: 1,
      waitingDemand: toCpuDemand(16_000_000),
      usedResources: toCpuDemand(8_000_000),
    };
    const customers = new Map([
      [toCustomerName('large'), { ...half, weight: 3 }],
      [toCustomerName('small'), { ...half, weight: 1, usedResources: toCpuDemand(0) }],
      [toCustomerName('none'), { ...half, weight: 0, usedResources: toCpuDemand(1_600_000) }],
    ]);
    const snapshot = { ...createSnapshot(1), customers, otherCustomersShare: 0.2 };
    const rows = createDigest({ ...createLoad(), snapshot, getStartsPerSecond: () => 1 }).customers;
    expect(
      rows.map(({ customer, dominantShare, fairShare }) => [customer, dominantShare, fairShare]),
    ).toEqual([
      ['large', 0.5, expect.closeTo(0.6)],
      ['small', 0, expect.closeTo(0.2)],
      ['none', 0.1, 0.1],
    ]);
  });

  it('sums up the waiting and running work of a leader', () => {
    const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    dispatcher.handleEndpointProfile(createProfile('i-1'));
    const endpoint = createProfile('i-1').incarnation;
    dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: 0 }, 0, 0);
    const owner = createCustomer('owner', {}, 2);
    const definition = { ...createJobDefinition(1, [createStep({ count: 6 })]), customer: owner };
    dispatcher.handleJob(definition, new JobProgress(definition), 0);
    dispatcher.placeWaiting(10, 10);
    const load = dispatcher.computeLoad(10);
    expect(load.queues).toEqual([
      { queue: 'jobs', waitingTasks: 2, waitingCpuMillis: 2000, runningCpuMillis: 4000 },
    ]);
    expect(load.customers.get(owner.name)).toMatchObject({
      weight: 2,
      waitingTasks: 2,
      usedResources: { cpuMillis: 4000 },
    });
    expect([load.capacity.cpuMillis, load.freeCpuMillis, load.otherCustomersShare]).toEqual([4000, 0, 0]);
  });

  it('is parsed back as it was formatted, and malformed text is rejected', () => {
    const digest = createLoad();
    expect(parseDigest(formatDigest(digest))).toEqual(digest);
    const amount = fc.double({ min: 0, max: 1e12, noNaN: true });
    const anyLoad = fc.record({
      ...Object.fromEntries(['madeAtMs', 'capacityCpuMillis', 'freeCpuMillis'].map((name) => [name, amount])),
      epoch: fc.nat(),
      sequence: fc.nat(),
      queues: fc.array(fc.tuple(fc.string(), fc.nat(), amount, amount, amount), { maxLength: 8 }),
      customers: fc.array(fc.tuple(fc.string(), fc.nat(), amount, amount), { maxLength: 8 }),
    });
    const isSound = (text: string): boolean => {
      const parsed = parseDigest(text);
      const numbers = [...(parsed?.queues ?? []), ...(parsed?.customers ?? [])].flatMap((row) =>
        Object.values(row).filter((value) => typeof value === 'number'),
      );
      return numbers.every((value) => Number.isFinite(value) && value >= 0);
    };
    fc.assert(
      fc.property(
        fc.oneof(
          fc.string(),
          fc.json(),
          anyLoad.map((load) => JSON.stringify(load)),
        ),
        isSound,
      ),
    );
    // One character replaced anywhere.
    const text = formatDigest(digest);
    fc.assert(
      fc.property(fc.nat(text.length - 1), fc.string({ minLength: 1, maxLength: 1 }), (at, character) =>
        isSound(text.slice(0, at) + character + text.slice(at + 1)),
      ),
    );
    for (const bad of ['', 'null', '[]', '{}', text.slice(1), text.replace('"epoch":3', '"epoch":-3')]) {
      expect(parseDigest(bad)).toBeUndefined();
    }
  });
});

describe('the rate of starts', () => {
  it('is that of the best recent second, and unknown at first', () => {
    const rates = new StartRates(0);
    for (let now = 0; now < 6000; now += 10) {
      rates.recordStart('busy', now);
    }
    expect(rates.computeStartsPerSecond('busy', 2000)).toBeUndefined();
    expect(rates.computeStartsPerSecond('busy', 6000)).toBe(100);
    expect(rates.computeStartsPerSecond('idle', 6000)).toBe(0);
    // A stall of the log does not lower the rate.
    expect(rates.computeStartsPerSecond('busy', 9500)).toBe(100);
    expect(rates.computeStartsPerSecond('busy', 20_000)).toBe(0);
  });
});

describe('a load publisher', () => {
  it('publishes once a second while tasks wait, and once more when none do', () => {
    const publisher = new LoadPublisher(7, 0);
    const published: LoadDigest[] = [];
    for (let now = 0; now < 6000; now += 100) {
      const isWaiting = now >= 1000 && now < 3500;
      const text = publisher.createDueDigest({ now, wallMs: now }, () => createSnapshot(isWaiting ? 2 : 1));
      if (text !== undefined) {
        published.push(parseDigest(text)!);
      }
    }
    expect(published.map(({ madeAtMs }) => madeAtMs)).toEqual([1000, 2000, 3000, 4000]);
    expect(published.map(({ epoch, sequence }) => [epoch, sequence])).toEqual([
      [7, 1],
      [7, 2],
      [7, 3],
      [7, 4],
    ]);
    expect(published.at(-1)!.queues[0]!.waitingTasks).toBe(0);
  });
});

describe('the load view of a box', () => {
  const toRecord = (digest: LoadDigest): { key: string; value: string } => {
    return { key: loadKeys.digestKey, value: formatDigest(digest) };
  };
  const moment = { now: 500, wallMs: 1200, epoch: 3 };

  it('keeps the newest digest by epoch, then by sequence, in any order of arrival', () => {
    const view = new LoadView();
    const records = [createLoad({ sequence: 2 }), createLoad({ epoch: 2, sequence: 9 }), createLoad()].map(
      toRecord,
    );
    expect(view.foldRecords([{ key: 'state/1', value: 'running' }, ...records], 500, 4)).toBe(0);
    expect(view.getFreshLoad(moment)?.digest).toMatchObject({ epoch: 3, sequence: 2 });
    view.foldRecords([toRecord(createLoad({ epoch: 4 }))], 500, 4);
    expect(view.getFreshLoad(moment)?.digest).toMatchObject({ epoch: 4, sequence: 1 });
  });

  it('returns no digest that is stale by either clock', () => {
    const view = new LoadView();
    expect(view.getFreshLoad(moment)).toBeUndefined();
    view.foldRecords([toRecord(createLoad())], 500, 4);
    expect(view.getFreshLoad(moment)?.ageMs).toBe(200);
    expect(view.getFreshLoad({ ...moment, now: 2501 })).toBeUndefined();
    // Read long after it was written, by a box that has just started.
    expect(view.getFreshLoad({ ...moment, wallMs: 3001 })).toBeUndefined();
    // The leader's clock is ahead: the time since it was received counts.
    expect(view.getFreshLoad({ ...moment, now: 1500, wallMs: 0 })?.ageMs).toBe(1000);
  });

  it('returns no digest of a replaced leader, until the new one publishes its own', () => {
    const view = new LoadView();
    view.foldRecords([toRecord(createLoad())], 500, 4);
    expect(view.getFreshLoad({ ...moment, epoch: 4 })).toBeUndefined();
    // The replaced leader still publishes.
    view.foldRecords([toRecord(createLoad({ sequence: 2 }))], 500, 4);
    expect(view.getFreshLoad({ ...moment, epoch: 4 })).toBeUndefined();
    view.foldRecords([toRecord(createLoad({ epoch: 4 }))], 500, 4);
    view.foldRecords([toRecord(createLoad({ sequence: 3 }))], 500, 4);
    expect(view.getFreshLoad({ ...moment, epoch: 4 })?.digest.epoch).toBe(4);
  });

  it('ignores and counts malformed digests and those of unclaimed epochs', () => {
    const view = new LoadView();
    view.foldRecords([toRecord(createLoad())], 500, 4);
    const garbage = ['', '{"epoch":99}', 'x'].map((value) => ({ key: loadKeys.digestKey, value }));
    expect(view.foldRecords(garbage, 600, 4)).toBe(3);
    const unclaimed = toRecord(createLoad({ epoch: 5 }));
    expect(view.foldRecords([unclaimed], 600, 4)).toBe(1);
    expect(view.getFreshLoad(moment)?.digest.epoch).toBe(3);
  });
});
