import { afterEach, describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import type { LogClient } from '../packages/store/LogClient';
import { LogFollower } from '../packages/store/LogFollower';

const POLL_MS = 1000;
/** Far below the wait and the time limit of a read without a response. */
const IMMEDIATE_MS = 100;
const FORGETTING_MS = 600;
/** One per 30 ms, the shortest backoff. */
const MAX_FORGOTTEN_READS = 20;

interface PagedLog {
  readonly client: LogClient;
  /** Offsets of the handled records, in order. */
  readonly handled: number[];
  endOffset: number;
  /** True while reads return no records. */
  isWithholding: boolean;
}

/** Creates a log with `endOffset` records, of which a read returns the first one. */
const createPagedLog = (): PagedLog => {
  const log: PagedLog = {
    handled: [],
    endOffset: 0,
    isWithholding: false,
    client: {
      append: () => Promise.reject(new Error('not used')),
      readPageOfNewestByKey: () =>
        Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
      readRecords: async ({ fromOffset }) => {
        await new Promise((resolve) => setTimeout(resolve, 1));
        const hasRecord = !log.isWithholding && fromOffset < log.endOffset;
        const records = hasRecord ? [{ offset: fromOffset, key: `job.${fromOffset}`, value: 'x' }] : [];
        return { ok: true, value: { records, endOffset: log.endOffset } };
      },
      stop: () => Promise.resolve(),
    },
  };
  return log;
};

describe('a follower of a topic', () => {
  let follower: LogFollower | undefined;

  afterEach(() => follower?.stop());

  /** Creates a log whose long polls never get a response. */
  const createLog = (readTimes: number[]): LogClient => ({
    append: () => Promise.reject(new Error('not used')),
    readPageOfNewestByKey: () =>
      Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
    readRecords: () => {
      readTimes.push(performance.now());
      return new Promise(() => undefined);
    },
    stop: () => Promise.resolve(),
  });

  const startFollower = (readTimes: number[]): LogFollower => {
    follower = new LogFollower({
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      client: createLog(readTimes),
      topic: 'keyed.jobs',
      clock: systemClock,
      random: () => 0.5,
      pauseMs: 0,
      pollWaitMs: POLL_MS,
      handleRecords: () => undefined,
    });
    void follower.start();
    return follower;
  };

  it('passes over a record that cannot be handled, and goes on with those beside and after it', async () => {
    const handled: string[] = [];
    const logged: unknown[] = [];
    const topic = ['a', 'odd', 'b', 'c'].map((key, offset) => ({ key, value: '', offset }));
    follower = new LogFollower({
      logger: {
        info: () => undefined,
        warn: () => undefined,
        error: (message, fields) => logged.push([message, fields?.['key'] ?? fields?.['records']]),
      },
      client: {
        ...createLog([]),
        readRecords: async ({ fromOffset }) => {
          await waitFor(1);
          const records = topic.slice(fromOffset, fromOffset === 0 ? 3 : 4);
          return { ok: true, value: { records, endOffset: fromOffset + records.length } };
        },
      },
      topic: 'keyed.jobs',
      clock: systemClock,
      random: () => 0.5,
      pauseMs: 0,
      pollWaitMs: POLL_MS,
      handleRecords: (records) =>
        records.forEach(({ key }) => {
          if (key === 'odd') {
            throw new Error('cannot be handled');
          }
          handled.push(key);
        }),
    });
    void follower.start();
    await expect.poll(() => handled.includes('c')).toBe(true);
    expect(new Set(handled)).toEqual(new Set(['a', 'b', 'c']));
    expect(logged).toEqual([
      ['Records cannot be handled together.', 3],
      ['Record cannot be handled and is passed over.', 'odd'],
    ]);
  });

  it('backs off between reads of a log that does not retain the records', async () => {
    let reads = 0;
    const log: LogClient = {
      ...createLog([]),
      readRecords: async () => {
        reads += 1;
        await waitFor(1);
        return { ok: false, error: { kind: 'forgotten', firstOffset: 0 } };
      },
    };
    follower = new LogFollower({
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      client: log,
      topic: 'keyed.jobs',
      clock: systemClock,
      random: () => 0.5,
      pauseMs: 0,
      pollWaitMs: POLL_MS,
      handleRecords: () => undefined,
    });
    void follower.start();
    await waitFor(FORGETTING_MS);
    expect(reads).toBeGreaterThan(1);
    expect(reads).toBeLessThanOrEqual(MAX_FORGOTTEN_READS);
  });

  const waitFor = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

  /** Creates a follower of a log that returns one record a read, as a log with a limited response size does. */
  const createPagedFollower = (log: PagedLog): LogFollower =>
    new LogFollower({
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      client: log.client,
      topic: 'keyed.jobs',
      clock: systemClock,
      random: () => 0.5,
      pauseMs: POLL_MS,
      pollWaitMs: POLL_MS,
      handleRecords: (records) => log.handled.push(...records.map(({ offset }) => offset)),
    });

  it('refreshes to the end of the topic when a response holds only the first of the pending records', async () => {
    const log = createPagedLog();
    follower = createPagedFollower(log);
    void follower.start();
    await waitFor(20);
    log.endOffset = 3;
    expect(await follower.waitForRefresh(POLL_MS)).toBe(true);
    expect(log.handled).toEqual([0, 1, 2]);
  });

  it('does not report a refresh when the log returns nothing of the pending records', async () => {
    const log = createPagedLog();
    follower = createPagedFollower(log);
    void follower.start();
    await waitFor(20);
    log.endOffset = 3;
    log.isWithholding = true;
    expect(await follower.waitForRefresh(POLL_MS)).toBe(false);
  });

  it('gives each caller its own time for a refresh that is shared with a caller of less time', async () => {
    const log = createPagedLog();
    follower = createPagedFollower(log);
    void follower.start();
    await waitFor(20);
    log.endOffset = 3;
    const refreshes = [POLL_MS, 1, POLL_MS].map((timeoutMs) => follower!.waitForRefresh(timeoutMs));
    void refreshes[0]!.then(() => {
      log.endOffset = 10;
    });
    expect(await Promise.all(refreshes)).toEqual([true, false, true]);
    expect(log.handled).toHaveLength(10);
  });

  it('reads pending records one response after the other without the pause between polls', async () => {
    const log = createPagedLog();
    follower = createPagedFollower(log);
    void follower.start();
    await waitFor(20);
    log.endOffset = 3;
    follower.setPause(POLL_MS);
    await waitFor(IMMEDIATE_MS);
    expect(log.handled).toEqual([0, 1, 2]);
  });

  it('does not count as up to date while it reads the topic anew, after the log has dropped the next record', async () => {
    let isForgotten = false;
    const log: LogClient = {
      ...createLog([]),
      readPageOfNewestByKey: async () =>
        isForgotten
          ? new Promise(() => undefined)
          : { ok: true, value: { records: [], endOffset: 0, hasMore: false } },
      readRecords: async () => {
        await waitFor(IMMEDIATE_MS / 2);
        isForgotten = true;
        return { ok: false, error: { kind: 'forgotten', firstOffset: 5 } };
      },
    };
    const connections: boolean[] = [];
    follower = new LogFollower({
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      client: log,
      topic: 'keyed.jobs',
      clock: systemClock,
      random: () => 0.5,
      pauseMs: 0,
      pollWaitMs: POLL_MS,
      handleRecords: () => undefined,
      handleConnection: (isConnected) => connections.push(isConnected),
    });
    void follower.start();
    await waitFor(20);
    expect(follower.isUpToDate()).toBe(true);
    await waitFor(IMMEDIATE_MS);
    expect(follower.isUpToDate()).toBe(false);
    expect(connections).toEqual([true, false]);
  });

  it('retries when a call sent after its pending read has shown that the log has recovered', async () => {
    const readTimes: number[] = [];
    const started = startFollower(readTimes);
    await waitFor(20);
    expect(readTimes).toHaveLength(1);
    started.retryPendingRead(systemClock.getNow());
    await waitFor(IMMEDIATE_MS);
    expect(readTimes).toHaveLength(2);
  });

  it('does not retry for the response to a call sent before its pending read', async () => {
    const readTimes: number[] = [];
    const earlier = systemClock.getNow();
    const started = startFollower(readTimes);
    await waitFor(20);
    started.retryPendingRead(earlier);
    await waitFor(IMMEDIATE_MS);
    expect(readTimes).toHaveLength(1);
  });
});
