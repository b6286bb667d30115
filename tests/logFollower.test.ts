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
