import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { RoundThrottle } from '../packages/dispatch/placing/RoundThrottle';

const LENGTH_MS = 1000;

/** Queues a round each millisecond, and returns how many were run. */
const countRounds = async (runSchedulingRound: () => boolean): Promise<number> => {
  let count = 0;
  const throttle = new RoundThrottle({
    clock: { getNow: () => performance.now(), getWallTime: () => Date.now() },
    runSchedulingRound: () => {
      count += 1;
      return runSchedulingRound();
    },
  });
  for (let time = 0; time < LENGTH_MS; time += 1) {
    throttle.queueRound();
    await vi.advanceTimersByTimeAsync(1);
  }
  return count;
};

describe('rounds of placement', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  it('do not follow each single message, however short they are', async () => {
    expect(await countRounds(() => true)).toBeLessThan(LENGTH_MS / 5);
  });

  it('leave twice their length to the rest of the process', async () => {
    const count = await countRounds(() => {
      vi.advanceTimersByTime(20);
      return true;
    });
    expect(count).toBeLessThan(LENGTH_MS / 30);
  });

  it('begin at once after messages for which no round was due', async () => {
    expect(await countRounds(() => false)).toBeGreaterThan(LENGTH_MS / 2);
  });
});
