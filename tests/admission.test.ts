import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { CustomerName } from '../packages/customers/CustomerName';
import type { JobId } from '../packages/jobs/JobId';
import { chooseAdmission } from '../packages/load/chooseAdmission';
import type { AdmissionMode } from '../packages/load/AdmissionMode';
import type { AdmissionRequest } from '../packages/load/AdmissionRequest';
import { formatDigest } from '../packages/load/formatDigest';
import type { KnownLoad } from '../packages/load/KnownLoad';
import type { LoadDigest } from '../packages/load/LoadDigest';
import { loadKeys } from '../packages/load/loadKeys';
import { LoadView } from '../packages/load/LoadView';
import { LoadAdmission } from '../packages/serve/LoadAdmission';
import { ServeMetrics } from '../packages/serve/ServeMetrics';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

const toCustomerName = (name: string): CustomerName => toId<CustomerName>(name);

/** A digest of a full fleet. A job of two 400 ms tasks of one core is useful until 2550 ms. */
const createDigest = (expectedWaitMs: number, fields: Partial<LoadDigest> = {}): LoadDigest => ({
  epoch: 1,
  sequence: 1,
  madeAtMs: 0,
  capacityCpuMillis: 100_000,
  freeCpuMillis: 1999,
  queues: [
    { queue: 'jobs', waitingTasks: 90, waitingCpuMillis: 90_000, runningCpuMillis: 90_000, expectedWaitMs },
  ],
  customers: [],
  ...fields,
});

const USEFUL_MS = 3 * (250 + 1.5 * 400);

const toKnown = (digest: LoadDigest): KnownLoad => ({ digest, ageMs: 100 });

const createRequest = (number = 1, fields: Partial<AdmissionRequest> = {}): AdmissionRequest => {
  const { id, queue, steps } = createJobDefinition(number, [createStep()]);
  return { id, queue, steps, customer: undefined, dueInMs: 0, callerWaitMs: 3000, ...fields };
};

describe('admission control', () => {
  it('admits jobs while the load of their queue is unknown', () => {
    expect(chooseAdmission(undefined, createRequest()).kind).toBe('unknown');
    const other = createDigest(60_000, { queues: [] });
    expect(chooseAdmission(toKnown(other), createRequest()).kind).toBe('unknown');
  });

  it('admits jobs that fit into the free capacity, however long the queue is', () => {
    const digest = createDigest(60_000, { freeCpuMillis: 2000 });
    expect(chooseAdmission(toKnown(digest), createRequest()).kind).toBe('room');
  });

  it('admits jobs that are expected to end while useful, and refuses others', () => {
    const chooseKind = (waitMs: number, fields: Partial<AdmissionRequest> = {}): string =>
      chooseAdmission(toKnown(createDigest(waitMs)), createRequest(1, fields)).kind;
    expect(chooseKind(0)).toBe('bearable');
    expect(chooseKind(USEFUL_MS)).toBe('bearable');
    expect(chooseKind(USEFUL_MS + 1)).toBe('hopeless');
    expect(chooseKind(USEFUL_MS + 1, { dueInMs: 5000 })).toBe('bearable');
  });

  it('expects shorter waits for customers below their fair share', () => {
    const customers = [
      { customer: toCustomerName('full'), waitingTasks: 50, dominantShare: 0.6, fairShare: 0.5 },
      { customer: toCustomerName('half'), waitingTasks: 40, dominantShare: 0.1, fairShare: 0.2 },
    ];
    const chooseKind = (waitMs: number, name: string): string =>
      chooseAdmission(
        toKnown(createDigest(waitMs, { customers })),
        createRequest(1, { customer: toCustomerName(name) }),
      ).kind;
    expect(chooseKind(USEFUL_MS + 1, 'full')).toBe('hopeless');
    expect(chooseKind(USEFUL_MS + 1, 'half')).toBe('bearable');
    expect(chooseKind(2 * USEFUL_MS + 2, 'half')).toBe('hopeless');
    expect(chooseKind(60_000, 'nothing-waiting')).toBe('bearable');
  });

  it('spreads retries, with the same retry time for a job on every box', () => {
    const refusedMs = 4000;
    const computeRetryMs = (number: number, callerWaitMs = 60_000): number => {
      const load = toKnown(createDigest(USEFUL_MS + refusedMs));
      // Ids that end in evenly spread digits.
      const id = toId<JobId>(
        `0000000000${Math.floor((number * 0x1000000) / 200)
          .toString(16)
          .padStart(6, '0')}`,
      );
      const decision = chooseAdmission(load, createRequest(1, { id, callerWaitMs }));
      return decision.kind === 'hopeless' ? decision.retryAfterMs : 0;
    };
    const times = Array.from({ length: 200 }, (_, number) => computeRetryMs(number));
    expect(Math.min(...times)).toBeGreaterThanOrEqual(refusedMs);
    expect(Math.max(...times)).toBeLessThanOrEqual(1.5 * refusedMs);
    const busiest = times.filter((ms) => ms >= 5000 && ms < 5200).length;
    expect(busiest).toBeLessThan(30);
    expect(computeRetryMs(70)).toBe(computeRetryMs(70));
    // Jitter does not delay a retry beyond the time that the caller waits.
    expect(computeRetryMs(199, 4100)).toBe(4100);
    expect(computeRetryMs(199, 100)).toBe(refusedMs);
  });
});

/** Admission control of one box. The test sets what it reads. */
class AdmissionFixture {
  now = 0;
  epoch = 1;
  /** Whether the jobs' topic can be read to its end. */
  isReadable = true;
  /** Job that is found in the jobs' topic. */
  found: JobId | undefined;
  readonly lines: { readonly message: string; readonly fields: Record<string, unknown> }[] = [];
  readonly door: LoadAdmission;
  private readonly view = new LoadView();
  private readonly metrics = new ServeMetrics();

  constructor(door: AdmissionMode = 'load') {
    const handleLine = (message: string, fields = {}): void => void this.lines.push({ message, fields });
    this.door = new LoadAdmission({
      mode: door,
      loadView: this.view,
      clock: { getNow: () => this.now, getWallTime: () => this.now },
      logger: { info: handleLine, warn: handleLine, error: handleLine },
      metrics: this.metrics,
      getEpoch: () => this.epoch,
      waitForJobsRefresh: () => Promise.resolve(this.isReadable),
      isJobKnown: (id) => id === this.found,
    });
  }

  handleDigest(expectedWaitMs: number, fields: Partial<LoadDigest> = {}): void {
    const digest = createDigest(expectedWaitMs, { madeAtMs: this.now, ...fields });
    const record = { key: loadKeys.digestKey, value: formatDigest(digest) };
    this.view.foldRecords([record], this.now, this.epoch);
  }

  startCheck(number = 1): ReturnType<LoadAdmission['checkJob']> {
    return this.door.checkJob(createJobDefinition(number, [createStep()]), this.now + 400);
  }

  async chooseKind(number = 1): Promise<string> {
    return (await this.startCheck(number)).kind;
  }

  getCount(name: string): number {
    return Number(new RegExp(`stairline_${name}_total (\\d+)`).exec(this.metrics.formatText({}))?.[1]);
  }
}

const HOPELESS_MS = 20_000;

describe('a box that refuses jobs by load', () => {
  it('refuses a hopeless job once the jobs have been read to the end, and logs the reason', async () => {
    const box = new AdmissionFixture();
    box.handleDigest(HOPELESS_MS);
    box.now = 300;
    expect(await box.startCheck()).toEqual({ kind: 'refused', retryAfterMs: expect.any(Number) });
    expect(box.lines).toEqual([
      {
        message: 'Job refused: it could not be useful in time.',
        fields: expect.objectContaining({
          loadEpoch: 1,
          loadSequence: 1,
          loadAgeMs: 300,
          expectedWaitMs: HOPELESS_MS,
          retryAfterMs: expect.any(Number),
        }),
      },
    ]);
    expect(box.getCount('door_hopeless')).toBe(1);
  });

  it('refuses no job that an earlier request may have submitted', async () => {
    const box = new AdmissionFixture();
    box.handleDigest(HOPELESS_MS);
    box.door.recordUncertainJob(createJobDefinition(1, []).id);
    expect(await box.chooseKind(1)).toBe('taken');
    box.found = createJobDefinition(2, []).id;
    expect(await box.chooseKind(2)).toBe('known');
    // Another box may have accepted it.
    box.isReadable = false;
    expect(await box.chooseKind(3)).toBe('taken');
    expect(box.getCount('door_doubtful')).toBe(2);
  });

  it('admits all jobs when digests stop, as in a partitioned hall, and refuses again when they return', async () => {
    const box = new AdmissionFixture();
    box.handleDigest(HOPELESS_MS);
    expect(await box.chooseKind()).toBe('refused');
    box.now = 2100;
    expect(await box.chooseKind()).toBe('taken');
    box.handleDigest(HOPELESS_MS, { sequence: 2 });
    expect(await box.chooseKind()).toBe('refused');
  });

  it('admits all jobs from a change of leader until the new one publishes its load, even if the old one still does', async () => {
    const box = new AdmissionFixture();
    box.handleDigest(HOPELESS_MS);
    box.epoch = 2;
    expect(await box.chooseKind()).toBe('taken');
    box.handleDigest(HOPELESS_MS, { sequence: 2 });
    expect(await box.chooseKind()).toBe('taken');
    box.handleDigest(0, { epoch: 2 });
    expect(await box.chooseKind()).toBe('taken');
    box.handleDigest(HOPELESS_MS, { epoch: 2, sequence: 2 });
    box.handleDigest(0, { epoch: 1, sequence: 9 });
    expect(await box.chooseKind()).toBe('refused');
  });

  it('admits all jobs and returns the load to log in mode watch, and ignores the load in mode open', async () => {
    const watching = new AdmissionFixture('watch');
    watching.handleDigest(HOPELESS_MS);
    const load = { loadEpoch: 1, loadSequence: 1, loadAgeMs: 0, expectedWaitMs: HOPELESS_MS };
    expect(await watching.startCheck()).toEqual({ kind: 'taken', load });
    const open = new AdmissionFixture('open');
    open.handleDigest(HOPELESS_MS);
    expect(await open.startCheck()).toEqual({ kind: 'taken', load: {} });
  });
});
