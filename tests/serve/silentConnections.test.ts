import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const EXECUTORS = 4;
const SLOTS = 6;
const JOB_INTERVAL_MS = 100;
const JOBS = 40;
/** Jobs sent before the connections become unresponsive. */
const JOBS_BEFORE = 10;
const LONG_MS = 8000;
/** Longest time from the request for a job to its first start, below the lease of 4 s. */
const MAX_START_DELAY_MS = 3000;
const STEP = { count: 1, cpu: 1000, 'mem-mb': 100 };
const LONG_ID = toJobIdText(1000);

const waitFor = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe('connections that become unresponsive for good while new ones work', () => {
  let cell: Cell;

  beforeEach(async () => {
    cell = await Cell.create({ boxes: 3, executors: EXECUTORS, roomPerExecutor: SLOTS });
  });

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  /** Sends jobs at a steady rate through all boxes; returns the longest time in milliseconds from a job's first request to its first start. */
  const computeMaxStartDelayMs = async (dropConnections: () => void): Promise<number> => {
    const sentAt = new Map<string, number>();
    const startedAt = new Map<string, number>();
    const watch = setInterval(() => {
      for (const id of sentAt.keys()) {
        if (!startedAt.has(id) && cell.runChecker.countStarts(`${id}.0.0.0`) > 0) {
          startedAt.set(id, performance.now());
        }
      }
    }, 10);
    const sendUntilAccepted = async (id: string, index: number): Promise<void> => {
      const body = JSON.stringify({ spec: '50', steps: [STEP] });
      await cell.startUntil(async () => {
        const box = cell.boxes[index % cell.boxes.length]!;
        return (await cell.sendJob(box, id, body, 'advised')).status === 200;
      });
    };
    const calls: Promise<void>[] = [];
    for (let index = 0; index < JOBS; index += 1) {
      if (index === JOBS_BEFORE) {
        dropConnections();
      }
      const id = toJobIdText(index + 1);
      sentAt.set(id, performance.now());
      calls.push(sendUntilAccepted(id, index));
      await waitFor(JOB_INTERVAL_MS);
    }
    await Promise.all(calls);
    await cell.startUntil(() => Promise.resolve(startedAt.size === JOBS));
    clearInterval(watch);
    return Math.max(...[...sentAt].map(([id, at]) => startedAt.get(id)! - at));
  };

  const checkRecovery = async (dropConnections: () => void): Promise<void> => {
    const leader = await cell.startLeader();
    const long = JSON.stringify({ spec: String(LONG_MS), steps: [{ ...STEP, count: EXECUTORS }] });
    expect((await cell.sendJob(cell.boxes[0]!, LONG_ID, long)).status).toBe(200);
    expect(await computeMaxStartDelayMs(dropConnections)).toBeLessThan(MAX_START_DELAY_MS);
    expect(await cell.startLeader()).toBe(leader);
    await cell.startState(cell.boxes[0]!, LONG_ID, 'completed');
    expect(cell.runChecker.countStarts(`${LONG_ID}.0.0.0`)).toBe(1);
  };

  it('to the log: are replaced within 3 s', async () => {
    await checkRecovery(() => cell.log.applyBlackhole());
  });

  it('to endpoints: are replaced within 3 s, and no run is lost', async () => {
    await checkRecovery(() => cell.executors.forEach(({ standin }) => standin.applyBlackhole()));
  });

  it('to the advice service: are replaced within 3 s', async () => {
    await checkRecovery(() => cell.advice.applyBlackhole());
  });
});
