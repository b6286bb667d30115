/*
 * Guards against a job that is as large as is accepted: it ended each box that led for want of heap, again after its restart, and stopped all other jobs.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { waitForDelay } from '../../packages/common/waitForDelay';

const BOXES = 2;
const HEAP_MB = 160;
const LARGE_ID = toJobIdText(1);
const LARGE = { spec: '1000'.padEnd(1200), steps: [{ count: 100_000, cpu: 1000, 'mem-mb': 0 }] };
const SMALL = { spec: '20', steps: [{ count: 4, cpu: 1000, 'mem-mb': 10 }] };
const SMALL_JOBS = 20;
const SEND_INTERVAL_MS = 700;
/** Time in which a small job has to be done beside the large one. */
const MAX_SMALL_MS = 4000;

describe('a job of as many tasks as are accepted', () => {
  let cell: Cell;

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  const sendSmallJobs = async (first: number): Promise<void> => {
    const completions: Promise<void>[] = [];
    for (let number = first; number < first + SMALL_JOBS; number += 1) {
      const box = cell.boxes[number % BOXES]!;
      expect((await cell.sendJob(box, toJobIdText(number), SMALL)).status).toBe(200);
      completions.push(cell.startState(box, toJobIdText(number), 'completed', MAX_SMALL_MS));
      await waitForDelay(SEND_INTERVAL_MS);
    }
    await Promise.all(completions);
  };

  it('ends no box, lets small jobs start beside it, also under the next leader, and can be cancelled', async () => {
    cell = await Cell.create({
      boxes: BOXES,
      executors: 4,
      roomPerExecutor: 3000,
      nodeArgs: [`--max-old-space-size=${HEAP_MB}`],
    });
    const leader = await cell.startLeader();
    expect((await cell.sendJob(leader, LARGE_ID, LARGE)).status).toBe(200);
    await sendSmallJobs(100);
    expect((await cell.readState(leader, LARGE_ID)).body.state).toBe('running');
    await leader.process.stop();
    cell.startBox(leader);
    await cell.startReady(leader);
    await sendSmallJobs(200);
    expect(cell.boxes.every(({ process }) => process.isAlive())).toBe(true);
    expect((await cell.cancelJob(leader, LARGE_ID)).status).toBe(200);
    await cell.startUntil(() =>
      Promise.resolve(cell.executors.every(({ standin }) => standin.countRuns() === 0)),
    );
  });
});
