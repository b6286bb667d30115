import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { LogClient } from '../packages/store/LogClient';
import { LogFollower } from '../packages/store/LogFollower';

/** A small box of a sheet, and its most urgent queue: target latency, and the share of it that has to be served on a calm day. */
const SHEET = { linkMegabits: 7, targetLatencyMs: 300, classFloor: 0.49 };
const BYTES_PER_MS = (SHEET.linkMegabits * 1000) / 8;
const PAGE_BYTES = 1_000_000;
const PAGES = 10;
const JOB_INTERVAL_MS = 170;
const ANSWER_BYTES = 200;

/** Link to a box that transfers what is sent in order, as long as it takes. */
class FifoLink {
  private idleAt = 0;

  /** Resolves once everything sent before and these bytes have arrived. */
  waitForTransfer(bytes: number): Promise<void> {
    this.idleAt = Math.max(Date.now(), this.idleAt) + bytes / BYTES_PER_MS;
    return new Promise((resolve) => setTimeout(resolve, this.idleAt - Date.now()));
  }
}

/** Creates a log with pages of the largest size; `onComplete` is called with the last one. */
const createPagedLog = (link: FifoLink, onComplete: () => void): LogClient => ({
  append: () => Promise.reject(new Error('not used')),
  readRecords: () => new Promise(() => undefined),
  readPageOfNewestByKey: async ({ afterKey }) => {
    const number = Number(afterKey ?? 0) + 1;
    await link.waitForTransfer(PAGE_BYTES);
    if (number === PAGES) {
      onComplete();
    }
    const records = [{ offset: number, key: String(number), value: 'x' }];
    return { ok: true, value: { records, endOffset: PAGES, hasMore: number < PAGES } };
  },
  stop: () => Promise.resolve(),
});

/** Returns the times that answers to accepted jobs take to reach a box while it reads all jobs. */
const listAnswerTimes = async (pauseMs: number): Promise<readonly number[]> => {
  const link = new FifoLink();
  const times: number[] = [];
  let isComplete = false;
  const follower = new LogFollower({
    logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
    client: createPagedLog(link, () => {
      isComplete = true;
    }),
    topic: 'keyed.jobs',
    clock: { getNow: () => Date.now(), getWallTime: () => Date.now() },
    random: () => 0,
    pauseMs,
    pagePauseRatio: 3,
    pollWaitMs: 1000,
    handleRecords: () => undefined,
  });
  void follower.start();
  while (!isComplete) {
    const sentAt = Date.now();
    void link.waitForTransfer(ANSWER_BYTES).then(() => times.push(Date.now() - sentAt));
    await vi.advanceTimersByTimeAsync(JOB_INTERVAL_MS);
  }
  follower.stop();
  return times;
};

describe('a box on a narrow link that reads all jobs for the first time', () => {
  beforeEach(() => void vi.useFakeTimers({ now: 0 }));
  afterEach(() => {
    vi.clearAllTimers();
    vi.useRealTimers();
  });

  it('does not keep the answers to accepted jobs waiting behind the pages beyond the target latency', async () => {
    const times = await listAnswerTimes(1000);
    const inTime = times.filter((ms) => ms <= SHEET.targetLatencyMs).length;
    expect(inTime / times.length).toBeGreaterThanOrEqual(SHEET.classFloor);
  });

  it('reads without pauses as a leader', async () => {
    const times = await listAnswerTimes(0);
    expect(times.length * JOB_INTERVAL_MS).toBeLessThan((1.1 * PAGES * PAGE_BYTES) / BYTES_PER_MS);
  });
});
