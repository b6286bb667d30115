/*
 * Guards against a job that stops all others by its size: its starts are all under way at once, its progress outgrows a record of the log, and no record
 * behind that one is written.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { EndpointProfile } from '../packages/dispatch/endpoints/EndpointProfile';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import { LeaderController } from '../packages/dispatch/LeaderController';
import { formatDefinition } from '../packages/jobs/formatDefinition';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { jobKeys } from '../packages/jobs/jobKeys';
import { JobProgress } from '../packages/jobs/JobProgress';
import { parseProgress } from '../packages/jobs/parseProgress';
import { progressTexts } from '../packages/jobs/progressTexts';
import { JobReplica } from '../packages/jobs/JobReplica';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createLeaderOptions } from './helpers/createLeaderOptions';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';
import { MemoryLog } from './helpers/MemoryLog';
import { TimedEndpoint } from './helpers/TimedEndpoint';

const MAX_RECORD_BYTES = 262_144;
const TASKS = 8000;
const RUN_MS = 400;
const SMALL_TASKS = 4;
/** Time in which a job that may start has to be done. */
const MAX_SMALL_MS = 3000;
const MAX_PENDING_STARTS = 512;
/** Fits one part of the progress. */
const SMALL_APPEND_BYTES = 16_000;
/** Times around the division of the progress into parts. */
const STOP_TIMES = Array.from({ length: 12 }, (_none, number) => 1200 + 97 * number);
/** As long as the ids of the platform. */
const ENDPOINT = 'i-0123456789abcdef';
const TINY = { cpuMillis: 5, memoryMb: 0, accelerators: 0 };
const LARGE = createJobDefinition(1, [createStep({ count: TASKS, demand: TINY })]);
const createSmall = (number: number): JobDefinition =>
  createJobDefinition(number, [createStep({ count: SMALL_TASKS, demand: TINY })]);

let log: MemoryLog;
let replica: JobReplica;
let endpoint: TimedEndpoint;
let epoch: number;

const startLeader = async (maxAppendBytes = 1_000_000): Promise<LeaderController> => {
  epoch += 1;
  const controller = new LeaderController(
    createLeaderOptions(log, {
      epoch,
      replica,
      maxAppendBytes,
      parseEndpoint: (_id, text) => ({ ok: true, value: JSON.parse(text) as EndpointProfile }),
      createEndpointClient: () => endpoint,
    }),
  );
  controller.start();
  await vi.advanceTimersByTimeAsync(300);
  return controller;
};

const sendJob = (controller: LeaderController, definition: JobDefinition): void => {
  replica.recordDefinition(definition);
  controller.handleJob(definition);
};

const countStarts = ({ id }: JobDefinition): number =>
  endpoint.starts.filter(({ task }) => task.startsWith(`${id}.`)).length;

beforeEach(() => {
  vi.useFakeTimers({ now: 0 });
  log = new MemoryLog(() => 0.5);
  replica = new JobReplica();
  endpoint = new TimedEndpoint(RUN_MS);
  epoch = 0;
  const capacity = { cpuMillis: TASKS * TINY.cpuMillis * 4, memoryMb: 1_000_000, accelerators: 0 };
  log.writeRecord('keyed.servers', ENDPOINT, JSON.stringify(createProfile(ENDPOINT, { capacity })));
});

afterEach(() => {
  vi.useRealTimers();
});

describe('a job whose progress does not fit into one record', () => {
  it('is done, with small jobs beside it, each in time', async () => {
    const controller = await startLeader();
    sendJob(controller, LARGE);
    for (let number = 2; number < 12; number += 1) {
      const small = createSmall(number);
      sendJob(controller, small);
      await vi.advanceTimersByTimeAsync(MAX_SMALL_MS);
      expect(replica.getState(small.id)).toBe('completed');
    }
    await vi.advanceTimersByTimeAsync(30_000);
    expect(replica.getState(LARGE.id)).toBe('completed');
    expect(countStarts(LARGE)).toBe(TASKS);
    expect(Math.max(...log.recordSizes.map(({ bytes }) => bytes))).toBeLessThan(MAX_RECORD_BYTES);
    controller.stop();
  });

  it('has a bounded number of starts under way, and leaves others their share', async () => {
    const controller = await startLeader();
    sendJob(controller, LARGE);
    await vi.advanceTimersByTimeAsync(1);
    const pending = [
      ...controller.getDispatcher().getEndpointState(createProfile(ENDPOINT).incarnation)!.getRuns(),
    ];
    expect(pending.length).toBeGreaterThan(0);
    expect(pending.length).toBeLessThanOrEqual(MAX_PENDING_STARTS);
    const small = createSmall(2);
    sendJob(controller, small);
    await vi.advanceTimersByTimeAsync(100);
    expect(countStarts(small)).toBe(SMALL_TASKS);
    controller.stop();
  });

  it.each([200, 500, 1000, 1500, 3000, 6000])(
    'goes on under the next leader when the first stops after %i ms, and starts no task again that is done',
    async (stopAfterMs) => {
      const first = await startLeader();
      sendJob(first, LARGE);
      await vi.advanceTimersByTimeAsync(stopAfterMs);
      first.stop();
      const second = await startLeader();
      await vi.advanceTimersByTimeAsync(60_000);
      expect(replica.getState(LARGE.id)).toBe('completed');
      expect(endpoint.startsAfterDone).toEqual([]);
      expect(endpoint.countDoneTasks()).toBe(TASKS);
      second.stop();
    },
  );

  it.each(STOP_TIMES)(
    'goes on under the next leader when the first stops after %i ms between appends of single parts',
    async (stopAfterMs) => {
      const first = await startLeader(SMALL_APPEND_BYTES);
      sendJob(first, LARGE);
      await vi.advanceTimersByTimeAsync(stopAfterMs);
      first.stop();
      const second = await startLeader(SMALL_APPEND_BYTES);
      await vi.advanceTimersByTimeAsync(60_000);
      expect(replica.getState(LARGE.id)).toBe('completed');
      expect(endpoint.startsAfterDone).toEqual([]);
      second.stop();
    },
  );

  it('has its end recorded when that is the first change of a record that is too long', async () => {
    const definition = createJobDefinition(1, [createStep({ count: 5000, demand: TINY })]);
    const progress = new JobProgress(definition);
    for (let index = 0; index < 4999; index += 1) {
      progress.recordRunPlaced({ repetition: 0, step: 0, index }, 1, createProfile(ENDPOINT).incarnation);
      progress.recordRunEnd({ repetition: 0, step: 0, index }, 1, 'done', '');
    }
    const key = jobKeys.toProgressKey(definition.id);
    log.writeRecord('keyed.progress', key, progressTexts.formatWhole(definition, progress));
    replica.recordDefinition(definition);
    replica.recordCancel(definition.id);
    const controller = await startLeader();
    await vi.advanceTimersByTimeAsync(MAX_SMALL_MS);
    controller.stop();
    const page = await Promise.all([
      log.readPageOfNewestByKey({ topic: 'keyed.progress', afterKey: undefined, timeoutMs: 100 }),
      vi.advanceTimersByTimeAsync(100),
    ]);
    const text = page[0].ok ? page[0].value.records.find((record) => record.key === key)?.value : undefined;
    expect(parseProgress(definition, { text })!.getState()).toBe('cancelled');
  });

  it('can be cancelled, and leaves no parts in the log', async () => {
    const controller = await startLeader();
    sendJob(controller, LARGE);
    while (!log.recordSizes.some(({ key }) => key === jobKeys.toProgressPartKey(LARGE.id, 0))) {
      await vi.advanceTimersByTimeAsync(20);
    }
    replica.recordCancel(LARGE.id);
    controller.handleCancel(LARGE.id);
    await vi.advanceTimersByTimeAsync(3000);
    expect(endpoint.countRuns()).toBe(0);
    expect(replica.getState(LARGE.id)).toBe('cancelled');
    const page = await Promise.all([
      log.readPageOfNewestByKey({ topic: 'keyed.progress', afterKey: undefined, timeoutMs: 100 }),
      vi.advanceTimersByTimeAsync(100),
    ]);
    const keys = page[0].ok ? page[0].value.records.map(({ key }) => key) : [];
    expect(keys).toEqual([jobKeys.toProgressKey(LARGE.id)]);
    controller.stop();
  });
});

describe('a job with room for all of its tasks', () => {
  const countPlacedTasks = (step: Parameters<typeof createStep>[0]): number => {
    const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    const capacity = { cpuMillis: 1_000_000, memoryMb: 1_000_000, accelerators: 0 };
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT, { capacity }));
    const { incarnation } = createProfile(ENDPOINT);
    dispatcher.handleStatus({ endpoint: incarnation, running: [], ended: [], pollSentAt: 0 }, 0, 0);
    const definition = createJobDefinition(1, [createStep({ demand: TINY, ...step })]);
    dispatcher.handleJob(definition, new JobProgress(definition), 0);
    for (let now = 100, hasStarts = true; hasStarts; now += 100) {
      dispatcher.handleTick(now);
      dispatcher.placeWaiting(now, now);
      const starts = dispatcher.takeEffects().filter((effect) => effect.kind === 'start');
      for (const start of starts) {
        dispatcher.handleStartRecorded(start, now);
        const { task, run } = start.command;
        dispatcher.handleStartResult(start.endpoint, task, run, { kind: 'done' }, now);
      }
      hasStarts = starts.length > 0;
    }
    return dispatcher.getEndpointState(incarnation)!.countRuns();
  };

  it('runs 8,000 long-running ones', () => {
    expect(countPlacedTasks({ count: 8000, isLongRunning: true })).toBe(8000);
  });

  it('runs 20,000 long-running ones', () => {
    expect(countPlacedTasks({ count: 20_000, isLongRunning: true })).toBe(20_000);
  });

  it('starts a gang of 2,000', () => {
    expect(countPlacedTasks({ count: 2000, isGang: true })).toBe(2000);
  });

  it('starts a gang of 20,000', () => {
    expect(countPlacedTasks({ count: 20_000, isGang: true })).toBe(20_000);
  });
});

describe('a record that the log never takes', () => {
  it('fails its job alone', async () => {
    log.maxRecordBytes = 3000;
    const controller = await startLeader();
    const wide = createJobDefinition(1, [createStep({ count: 200, demand: TINY })]);
    sendJob(controller, wide);
    const small = createSmall(2);
    sendJob(controller, small);
    await vi.advanceTimersByTimeAsync(MAX_SMALL_MS);
    expect(replica.getState(small.id)).toBe('completed');
    expect(replica.getState(wide.id)).toBe('failed');
    expect(countStarts(wide)).toBe(0);
    controller.stop();
  });
});

describe('the record of a job', () => {
  it('is whole in the form that earlier versions read, while it fits', async () => {
    const controller = await startLeader();
    const ordinary = createJobDefinition(1, [createStep({ count: 50, demand: TINY })]);
    expect(formatDefinition(ordinary).length).toBeLessThan(1000);
    sendJob(controller, ordinary);
    await vi.advanceTimersByTimeAsync(MAX_SMALL_MS);
    const keys = new Set(log.recordSizes.map(({ key }) => key).filter((key) => key.startsWith('p/')));
    expect([...keys]).toEqual([jobKeys.toProgressKey(ordinary.id)]);
    controller.stop();
  });
});
