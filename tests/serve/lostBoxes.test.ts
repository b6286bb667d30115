/*
 * Guards against boxes that are lost for good and still count as capacity: the last box sent advice requests over them again and again, and its own
 * channel was reserved for short requests.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { waitForDelay } from '../../packages/common/waitForDelay';

const BOXES = 5;
const QUEUE = 'advised-slowly';
const JOB = { spec: '20', steps: [{ count: 1, cpu: 1000, 'mem-mb': 100 }] };
const JOBS = 16;
const SEND_INTERVAL_MS = 500;
/** Time for which a job may have nothing running beside free capacity. */
const MAX_WAIT_MS = 3000;
/** Time until a box that is back is found and used. */
const MAX_RETURN_MS = 2000;

type CellBox = Cell['boxes'][number];

describe('a leader whose other boxes say nothing any more', () => {
  let cell: Cell;
  let leader: CellBox;
  let others: readonly CellBox[];

  beforeEach(async () => {
    cell = await Cell.create({ boxes: BOXES, executors: 2, roomPerExecutor: 8 });
    leader = await cell.startLeader();
    others = cell.boxes.filter((box) => box !== leader);
    await waitForDelay(1000);
  });

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    cell.boxes.forEach(({ process }) => process.sendSignal('SIGCONT'));
    await cell.stop();
  });

  /** Sends jobs at an interval and resolves once all are completed, each within the maximum wait. */
  const sendJobs = async (first: number): Promise<void> => {
    const completions: Promise<void>[] = [];
    for (let number = first; number < first + JOBS; number += 1) {
      const id = toJobIdText(number);
      expect((await cell.sendJob(leader, id, JOB, QUEUE)).status).toBe(200);
      completions.push(cell.startState(leader, id, 'completed', MAX_WAIT_MS, QUEUE));
      await waitForDelay(SEND_INTERVAL_MS);
    }
    await Promise.all(completions);
  };

  const countLines = (message: string): number =>
    leader.process.readOutput().split(`"${message}"`).length - 1;

  it('starts its jobs in time when all are lost at once', async () => {
    others.forEach(({ process }) => process.sendSignal('SIGSTOP'));
    await sendJobs(1);
    expect(cell.readLeaders()).toContain(leader);
  });

  it('starts its jobs in time when they are lost one after the other', async () => {
    const sent = sendJobs(1);
    for (const { process } of others) {
      await waitForDelay(1500);
      process.sendSignal('SIGSTOP');
    }
    await sent;
  });

  it('finds them again soon after they are back', async () => {
    others.forEach(({ process }) => process.sendSignal('SIGSTOP'));
    await sendJobs(1);
    const lostCount = countLines('Box does not respond.');
    expect(lostCount).toBeGreaterThan(0);
    others.forEach(({ process }) => process.sendSignal('SIGCONT'));
    await cell.startUntil(
      () => Promise.resolve(countLines('Box responds again.') === lostCount),
      MAX_RETURN_MS,
    );
    await sendJobs(100);
  });

  it('finds them again that are started anew', async () => {
    others.forEach(({ process }) => process.sendSignal('SIGSTOP'));
    await sendJobs(1);
    expect(await cell.readMetrics(leader)).toMatch(/^stairline_lost_boxes [1-9]$/m);
    for (const box of others) {
      box.process.sendSignal('SIGKILL');
      cell.startBox(box);
    }
    await Promise.all(others.map((box) => cell.startReady(box)));
    await waitForDelay(MAX_RETURN_MS);
    expect(await cell.readMetrics(leader)).toMatch(/^stairline_lost_boxes 0$/m);
  });
});
