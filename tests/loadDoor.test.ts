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
import { LoadDoor } from '../packages/serve/LoadDoor';
import { ServeMetrics } from '../packages/serve/ServeMetrics';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

const toName = (name: string): CustomerName => toId<CustomerName>(name);

/** A full fleet; a newcomer of two tasks of a core, 400 ms each, has use for what ends within 2550 ms. */
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

const createCaller = (number = 1, fields: Partial<AdmissionRequest> = {}): AdmissionRequest => {
  const { id, queue, steps } = createJobDefinition(number, [createStep()]);
  return { id, queue, steps, customer: undefined, dueInMs: 0, leftMs: 3000, ...fields };
};

describe('the door', () => {
  it('takes whatever it knows no load for', () => {
    expect(chooseAdmission(undefined, createCaller()).kind).toBe('unknown');
    const other = createDigest(60_000, { queues: [] });
    expect(chooseAdmission(toKnown(other), createCaller()).kind).toBe('unknown');
  });

  it('refuses nothing while there is room for it, however long the queue is said to be', () => {
    const digest = createDigest(60_000, { freeCpuMillis: 2000 });
    expect(chooseAdmission(toKnown(digest), createCaller()).kind).toBe('room');
  });

  it('takes late work as long as it is of use, and refuses what is not', () => {
    const readKind = (waitMs: number, fields: Partial<AdmissionRequest> = {}): string =>
      chooseAdmission(toKnown(createDigest(waitMs)), createCaller(1, fields)).kind;
    expect(readKind(0)).toBe('bearable');
    expect(readKind(USEFUL_MS)).toBe('bearable');
    expect(readKind(USEFUL_MS + 1)).toBe('hopeless');
    expect(readKind(USEFUL_MS + 1, { dueInMs: 5000 })).toBe('bearable');
  });

  it('takes the owners that hold least of what they are owed for longest', () => {
    const customers = [
      { customer: toName('full'), waitingTasks: 50, dominantShare: 0.6, fairShare: 0.5 },
      { customer: toName('half'), waitingTasks: 40, dominantShare: 0.1, fairShare: 0.2 },
    ];
    const readKind = (waitMs: number, name: string): string =>
      chooseAdmission(
        toKnown(createDigest(waitMs, { customers })),
        createCaller(1, { customer: toName(name) }),
      ).kind;
    expect(readKind(USEFUL_MS + 1, 'full')).toBe('hopeless');
    expect(readKind(USEFUL_MS + 1, 'half')).toBe('bearable');
    expect(readKind(2 * USEFUL_MS + 2, 'half')).toBe('hopeless');
    expect(readKind(60_000, 'nothing-waiting')).toBe('bearable');
  });

  it('has callers come back when there is use for it, spread, each at the same time from every box', () => {
    const refusedMs = 4000;
    const readRetryMs = (number: number, leftMs = 60_000): number => {
      const load = toKnown(createDigest(USEFUL_MS + refusedMs));
      // Ids are random; these end in digits spread evenly.
      const id = toId<JobId>(
        `0000000000${Math.floor((number * 0x1000000) / 200)
          .toString(16)
          .padStart(6, '0')}`,
      );
      const answer = chooseAdmission(load, createCaller(1, { id, leftMs }));
      return answer.kind === 'hopeless' ? answer.retryAfterMs : 0;
    };
    const times = Array.from({ length: 200 }, (_, number) => readRetryMs(number));
    expect(Math.min(...times)).toBeGreaterThanOrEqual(refusedMs);
    expect(Math.max(...times)).toBeLessThanOrEqual(1.5 * refusedMs);
    const busiest = times.filter((ms) => ms >= 5000 && ms < 5200).length;
    expect(busiest).toBeLessThan(30);
    expect(readRetryMs(70)).toBe(readRetryMs(70));
    // The spread takes nobody past the time for which it waits.
    expect(readRetryMs(199, 4100)).toBe(4100);
    expect(readRetryMs(199, 100)).toBe(refusedMs);
  });
});

/** One box: what it reads is set by the test. */
class DoorBox {
  now = 0;
  epoch = 1;
  /** Whether the jobs' topic can be read to its end, and the job that is found there. */
  isReadable = true;
  found: JobId | undefined;
  readonly lines: { readonly sentence: string; readonly fields: Record<string, unknown> }[] = [];
  readonly door: LoadDoor;
  private readonly view = new LoadView();
  private readonly metrics = new ServeMetrics();

  constructor(door: AdmissionMode = 'load') {
    const handleLine = (sentence: string, fields = {}): void => void this.lines.push({ sentence, fields });
    this.door = new LoadDoor({
      door,
      view: this.view,
      clock: { readNow: () => this.now, readWall: () => this.now },
      logger: { info: handleLine, warn: handleLine, error: handleLine },
      metrics: this.metrics,
      readEpoch: () => this.epoch,
      startJobsRefresh: () => Promise.resolve(this.isReadable),
      isKnown: (id) => id === this.found,
    });
  }

  handleDigest(expectedWaitMs: number, fields: Partial<LoadDigest> = {}): void {
    const digest = createDigest(expectedWaitMs, { madeAtMs: this.now, ...fields });
    const record = { key: loadKeys.digestKey, value: formatDigest(digest) };
    this.view.foldRecords([record], this.now, this.epoch);
  }

  startCheck(number = 1): ReturnType<LoadDoor['startCheck']> {
    return this.door.startCheck(createJobDefinition(number, [createStep()]), this.now + 400);
  }

  async readKind(number = 1): Promise<string> {
    return (await this.startCheck(number)).kind;
  }

  readCount(name: string): number {
    return Number(new RegExp(`stairline_${name}_total (\\d+)`).exec(this.metrics.formatText({}))?.[1]);
  }
}

const HOPELESS_MS = 20_000;

describe('a box with the door by load', () => {
  it('refuses what is hopeless, once the jobs have been read to the end, and tells why', async () => {
    const box = new DoorBox();
    box.handleDigest(HOPELESS_MS);
    box.now = 300;
    expect(await box.startCheck()).toEqual({ kind: 'refused', retryAfterMs: expect.any(Number) });
    expect(box.lines).toEqual([
      {
        sentence: 'Job not taken: it could not be of use in time.',
        fields: expect.objectContaining({
          loadEpoch: 1,
          loadSequence: 1,
          loadAgeMs: 300,
          expectedWaitMs: HOPELESS_MS,
          retryAfterMs: expect.any(Number),
        }),
      },
    ]);
    expect(box.readCount('door_hopeless')).toBe(1);
  });

  it('refuses no job whose earlier send may have been taken', async () => {
    const box = new DoorBox();
    box.handleDigest(HOPELESS_MS);
    box.door.recordDoubt(createJobDefinition(1, []).id);
    expect(await box.readKind(1)).toBe('taken');
    box.found = createJobDefinition(2, []).id;
    expect(await box.readKind(2)).toBe('known');
    // It cannot be seen whether another box took it.
    box.isReadable = false;
    expect(await box.readKind(3)).toBe('taken');
    expect(box.readCount('door_doubtful')).toBe(2);
  });

  it('takes all when digests stop, as in a hall that is cut off, and refuses again when they come back', async () => {
    const box = new DoorBox();
    box.handleDigest(HOPELESS_MS);
    expect(await box.readKind()).toBe('refused');
    box.now = 2100;
    expect(await box.readKind()).toBe('taken');
    box.handleDigest(HOPELESS_MS, { sequence: 2 });
    expect(await box.readKind()).toBe('refused');
  });

  it('takes all from the change of a leader until the new one tells its load, whatever the old one still tells', async () => {
    const box = new DoorBox();
    box.handleDigest(HOPELESS_MS);
    box.epoch = 2;
    expect(await box.readKind()).toBe('taken');
    box.handleDigest(HOPELESS_MS, { sequence: 2 });
    expect(await box.readKind()).toBe('taken');
    box.handleDigest(0, { epoch: 2 });
    expect(await box.readKind()).toBe('taken');
    box.handleDigest(HOPELESS_MS, { epoch: 2, sequence: 2 });
    box.handleDigest(0, { epoch: 1, sequence: 9 });
    expect(await box.readKind()).toBe('refused');
  });

  it('takes all while it only watches, with the load beside the line of the job, and tells nothing while open', async () => {
    const watching = new DoorBox('watch');
    watching.handleDigest(HOPELESS_MS);
    const load = { loadEpoch: 1, loadSequence: 1, loadAgeMs: 0, expectedWaitMs: HOPELESS_MS };
    expect(await watching.startCheck()).toEqual({ kind: 'taken', load });
    const open = new DoorBox('open');
    open.handleDigest(HOPELESS_MS);
    expect(await open.startCheck()).toEqual({ kind: 'taken', load: {} });
  });
});
