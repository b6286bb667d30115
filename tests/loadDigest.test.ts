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

const toName = (name: string): CustomerName => toId<CustomerName>(name);
const toCpu = (cpuMillis: number): TaskDemand => ({ cpuMillis, memoryMb: 0, accelerators: 0 });

const createSnapshot = (queueCount: number, customerCount = queueCount): LoadSnapshot => ({
  capacity: toCpu(16_000_000),
  freeCpuMillis: 1_234_567,
  queues: Array.from({ length: queueCount }, (_, number) => ({
    queue: `${'queue'.repeat(5)}-${number}`,
    waitingTasks: number * 1000,
    waitingCpuMillis: 123_456_789,
    runningCpuMillis: 123_456_789,
  })),
  customers: new Map(
    Array.from({ length: customerCount }, (_, number) => [
      toName(`${'owner'.repeat(5)}-${number}`),
      { weight: 1, waitingTasks: number * 1000, waiting: toCpu(1_234_567), held: toCpu(1_234_567) },
    ]),
  ),
  othersShare: 0,
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

describe('a digest of the load', () => {
  it('holds those with most waiting, and stays below 2 kB however many there are', () => {
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

  it('expects a newcomer to wait while those before it start, and nothing where the rate is not known', () => {
    const readWait = (rate: number | undefined): number | undefined =>
      createDigest({ ...createLoad(), snapshot: createSnapshot(2), getStartsPerSecond: () => rate }).queues[0]
        ?.expectedWaitMs;
    expect(readWait(200)).toBe(5000);
    expect(readWait(0)).toBe(60_000);
    expect(readWait(undefined)).toBe(0);
  });

  it('tells what customers hold and are owed', () => {
    const half = { waitingTasks: 1, waiting: toCpu(16_000_000), held: toCpu(8_000_000) };
    const customers = new Map([
      [toName('large'), { ...half, weight: 3 }],
      [toName('small'), { ...half, weight: 1, held: toCpu(0) }],
      [toName('none'), { ...half, weight: 0, held: toCpu(1_600_000) }],
    ]);
    const snapshot = { ...createSnapshot(1), customers, othersShare: 0.2 };
    const rows = createDigest({ ...createLoad(), snapshot, getStartsPerSecond: () => 1 }).customers;
    expect(
      rows.map(({ customer, dominantShare, fairShare }) => [customer, dominantShare, fairShare]),
    ).toEqual([
      ['large', 0.5, expect.closeTo(0.6)],
      ['small', 0, expect.closeTo(0.2)],
      ['none', 0.1, 0.1],
    ]);
  });

  it('sums up what a leader has waiting and running', () => {
    const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    dispatcher.handleEndpointProfile(createProfile('i-1'));
    const life = createProfile('i-1').incarnation;
    dispatcher.handleStatus({ endpoint: life, running: [], ended: [], sentAt: 0 }, 0, 0);
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
      held: { cpuMillis: 4000 },
    });
    expect([load.capacity.cpuMillis, load.freeCpuMillis, load.othersShare]).toEqual([4000, 0, 0]);
  });

  it('is read back as it was written, and nothing else is taken for one', () => {
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
    // One character changed anywhere, as garbage that looks like a digest.
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
  it('is that of the best second of late, and not known at first', () => {
    const rates = new StartRates(0);
    for (let now = 0; now < 6000; now += 10) {
      rates.recordStart('busy', now);
    }
    expect(rates.computePerSecond('busy', 2000)).toBeUndefined();
    expect(rates.computePerSecond('busy', 6000)).toBe(100);
    expect(rates.computePerSecond('idle', 6000)).toBe(0);
    // Nothing starts while the log is out, and what waits will drain as fast as before.
    expect(rates.computePerSecond('busy', 9500)).toBe(100);
    expect(rates.computePerSecond('busy', 20_000)).toBe(0);
  });
});

describe('a leader', () => {
  it('tells its load once a second while something waits, and once more when nothing does', () => {
    const teller = new LoadPublisher(7, 0);
    const told: LoadDigest[] = [];
    for (let now = 0; now < 6000; now += 100) {
      const isWaiting = now >= 1000 && now < 3500;
      const text = teller.createDueDigest({ now, wallMs: now }, () => createSnapshot(isWaiting ? 2 : 1));
      if (text !== undefined) {
        told.push(parseDigest(text)!);
      }
    }
    expect(told.map(({ madeAtMs }) => madeAtMs)).toEqual([1000, 2000, 3000, 4000]);
    expect(told.map(({ epoch, sequence }) => [epoch, sequence])).toEqual([
      [7, 1],
      [7, 2],
      [7, 3],
      [7, 4],
    ]);
    expect(told.at(-1)!.queues[0]!.waitingTasks).toBe(0);
  });
});

describe('what a box knows of the load', () => {
  const toRecord = (digest: LoadDigest): { key: string; value: string } => {
    return { key: loadKeys.digestKey, value: formatDigest(digest) };
  };
  const moment = { now: 500, wallMs: 1200, epoch: 3 };

  it('is the newest by epoch, then by sequence, whatever the order in which they come', () => {
    const view = new LoadView();
    const records = [createLoad({ sequence: 2 }), createLoad({ epoch: 2, sequence: 9 }), createLoad()].map(
      toRecord,
    );
    expect(view.foldRecords([{ key: 'state/1', value: 'running' }, ...records], 500, 4)).toBe(0);
    expect(view.getLoad(moment)?.digest).toMatchObject({ epoch: 3, sequence: 2 });
    view.foldRecords([toRecord(createLoad({ epoch: 4 }))], 500, 4);
    expect(view.getLoad(moment)?.digest).toMatchObject({ epoch: 4, sequence: 1 });
  });

  it('counts as none once it is old, by either clock', () => {
    const view = new LoadView();
    expect(view.getLoad(moment)).toBeUndefined();
    view.foldRecords([toRecord(createLoad())], 500, 4);
    expect(view.getLoad(moment)?.ageMs).toBe(200);
    expect(view.getLoad({ ...moment, now: 2501 })).toBeUndefined();
    // Read long after it was written, as by a box that has just started.
    expect(view.getLoad({ ...moment, wallMs: 3001 })).toBeUndefined();
    // The leader's clock is ahead: it is as old as this box has had it.
    expect(view.getLoad({ ...moment, now: 1500, wallMs: 0 })?.ageMs).toBe(1000);
  });

  it('is that of no leader which has been replaced, until the new one tells its own', () => {
    const view = new LoadView();
    view.foldRecords([toRecord(createLoad())], 500, 4);
    expect(view.getLoad({ ...moment, epoch: 4 })).toBeUndefined();
    // The one before has not noticed yet.
    view.foldRecords([toRecord(createLoad({ sequence: 2 }))], 500, 4);
    expect(view.getLoad({ ...moment, epoch: 4 })).toBeUndefined();
    view.foldRecords([toRecord(createLoad({ epoch: 4 }))], 500, 4);
    view.foldRecords([toRecord(createLoad({ sequence: 3 }))], 500, 4);
    expect(view.getLoad({ ...moment, epoch: 4 })?.digest.epoch).toBe(4);
  });

  it('stays as it was where garbage comes in between, which is counted', () => {
    const view = new LoadView();
    view.foldRecords([toRecord(createLoad())], 500, 4);
    const garbage = ['', '{"epoch":99}', 'x'].map((value) => ({ key: loadKeys.digestKey, value }));
    expect(view.foldRecords(garbage, 600, 4)).toBe(3);
    const unclaimed = toRecord(createLoad({ epoch: 5 }));
    expect(view.foldRecords([unclaimed], 600, 4)).toBe(1);
    expect(view.getLoad(moment)?.digest.epoch).toBe(3);
  });
});
