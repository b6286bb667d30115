import { afterEach, describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import type { LogClient } from '../packages/store/LogClient';
import { LogFollower } from '../packages/store/LogFollower';

const POLL_MS = 1000;
/** Far below the wait and the time limit of a read without an answer. */
const AT_ONCE_MS = 100;
const FORGETTING_MS = 600;
/** One each 30 ms, half of the shortest wait. */
const MAX_FORGOTTEN_READS = 20;

describe('a follower of a topic', () => {
  let follower: LogFollower | undefined;

  afterEach(() => follower?.stop());

  /** A log whose first long poll goes into an outage and is never answered. */
  const createLog = (readTimes: number[]): LogClient => ({
    append: () => Promise.reject(new Error('not used')),
    readNewestPage: () => Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
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
      pollMs: POLL_MS,
      handleRecords: () => undefined,
    });
    void follower.start();
    return follower;
  };

  it('rests between reads of a log that keeps forgetting', async () => {
    let reads = 0;
    const log: LogClient = {
      ...createLog([]),
      readRecords: async () => {
        reads += 1;
        await startWait(1);
        return { ok: false, error: { kind: 'forgotten', firstOffset: 0 } };
      },
    };
    follower = new LogFollower({
      client: log,
      topic: 'keyed.jobs',
      clock: systemClock,
      random: () => 0.5,
      pauseMs: 0,
      pollMs: POLL_MS,
      handleRecords: () => undefined,
    });
    void follower.start();
    await startWait(FORGETTING_MS);
    expect(reads).toBeGreaterThan(1);
    expect(reads).toBeLessThanOrEqual(MAX_FORGOTTEN_READS);
  });

  const startWait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

  it('reads anew when a call that was sent after its own has shown that the log is back', async () => {
    const readTimes: number[] = [];
    const started = startFollower(readTimes);
    await startWait(20);
    expect(readTimes).toHaveLength(1);
    started.retryPending(systemClock.readNow());
    await startWait(AT_ONCE_MS);
    expect(readTimes).toHaveLength(2);
  });

  it('does not read anew for the answer to a call that was sent before its own', async () => {
    const readTimes: number[] = [];
    const earlier = systemClock.readNow();
    const started = startFollower(readTimes);
    await startWait(20);
    started.retryPending(earlier);
    await startWait(AT_ONCE_MS);
    expect(readTimes).toHaveLength(1);
  });
});
