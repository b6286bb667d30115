import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

/** The crash limit, one crash whose blame was shared with other tasks, and two further starts. */
const MAX_STARTS = 5;
const CRASHING_JOB = toJobIdText(1);
const HEALTHY_JOB_COUNT = 12;

const createBody = (spec: string, count: number): string =>
  JSON.stringify({ spec, steps: [{ count, cpu: 1000, 'mem-mb': 100 }] });

describe.each([
  ['under new ids', false],
  ['under the same ids', true],
])('a task that crashes its endpoints, which come back %s, with real processes', (_name, keepsIds) => {
  let cell: Cell;

  beforeEach(async () => {
    cell = await Cell.create({ boxes: 3, executors: 6, roomPerExecutor: 4, keepsIds });
  });

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  /** Submits the crashing job and healthy ones, and returns the ids of the latter. */
  const sendJobs = async (): Promise<readonly string[]> => {
    const box = cell.boxes[0]!;
    const healthy = Array.from({ length: HEALTHY_JOB_COUNT }, (_, index) => toJobIdText(index + 2));
    expect((await cell.sendJob(box, CRASHING_JOB, createBody('crashes', 1))).status).toBe(200);
    for (const id of healthy) {
      expect((await cell.sendJob(box, id, createBody('300', 2))).status).toBe(200);
    }
    return healthy;
  };

  const checkOutcome = async (healthy: readonly string[]): Promise<void> => {
    const box = cell.boxes.find(({ process }) => process.isAlive())!;
    await cell.startState(box, CRASHING_JOB, 'failed', 30_000);
    await Promise.all(healthy.map((id) => cell.startState(box, id, 'completed', 30_000)));
    expect(cell.runChecker.countStarts(`${CRASHING_JOB}.0.0.0`)).toBeLessThanOrEqual(MAX_STARTS);
    expect(cell.crashCount).toBe(cell.runChecker.countStarts(`${CRASHING_JOB}.0.0.0`));
  };

  it('fails at the crash limit, and other tasks complete', async () => {
    await checkOutcome(await sendJobs());
    const output = cell.boxes.map(({ process }) => process.readOutput()).join('');
    expect(output).toContain('Task failed: endpoints crashed under it.');
    expect(output).toContain('"cause":"lifeOver"');
    const leader = await cell.startLeader();
    expect(await cell.readMetrics(leader)).toContain('stairline_tasks_given_up_total 1\n');
  });

  it('fails at the crash limit also when the leader is killed after each crash', async () => {
    const healthy = await sendJobs();
    for (let crashes = 1; crashes <= 2; crashes += 1) {
      await cell.startUntil(() => Promise.resolve(cell.crashCount >= crashes));
      const leader = await cell.startLeader();
      leader.process.sendSignal('SIGKILL');
      await leader.process.exit;
      cell.startBox(leader);
      await cell.startReady(leader);
    }
    await checkOutcome(healthy);
  });
});

describe('a task that crashes its endpoints, whose records then say that they drain, with real processes', () => {
  let cell: Cell;
  let watch: NodeJS.Timeout | undefined;

  beforeEach(async () => {
    cell = await Cell.create({ boxes: 3, executors: 6, roomPerExecutor: 4 });
  });

  afterEach(async () => {
    clearInterval(watch);
    await cell.stop();
  });

  it('fails at the crash limit, since none of them has left by plan', async () => {
    const known = new Map<string, string>();
    watch = setInterval(() => {
      const present = new Set(cell.executors.map(({ id }) => id));
      for (const [id, address] of known) {
        if (!present.has(id)) {
          known.delete(id);
          cell.writeExecutor(id, address, 'draining', 1000);
        }
      }
      cell.executors.forEach(({ id, address }) => known.set(id, address));
    }, 5);
    const box = cell.boxes[0]!;
    expect((await cell.sendJob(box, CRASHING_JOB, createBody('crashes', 1))).status).toBe(200);
    await cell.startState(box, CRASHING_JOB, 'failed', 30_000);
    expect(cell.runChecker.countStarts(`${CRASHING_JOB}.0.0.0`)).toBeLessThanOrEqual(MAX_STARTS);
  });
});
