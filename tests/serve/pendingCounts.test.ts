import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { waitForDelay } from '../../packages/common/waitForDelay';

const JOBS = 4;
/** Several starts of each job are rejected in this time. */
const REJECTED_MS = 3000;
const ONE_TASK = { spec: '300', steps: [{ count: 1, cpu: 1000, 'mem-mb': 100 }] };

/** Guards against a count that leaves out jobs whose starts were decided and not carried out. */
describe('the count of pending jobs', () => {
  let cell: Cell;

  beforeEach(async () => {
    cell = await Cell.create({ boxes: 3, executors: 3, roomPerExecutor: 4 });
  });

  afterEach(async () => {
    await cell.stop();
  });

  const readCounts = (): Promise<readonly (number | undefined)[]> =>
    Promise.all(cell.boxes.map(async (box) => (await cell.sendCall(box, 'GET', '/jobs/')).body.pending));

  it.each([false, true])(
    'holds jobs of which no start was carried out, also after a change of leader: %s',
    async (hasLeaderChange) => {
      const leader = await cell.startLeader();
      cell.executors.forEach(({ standin }) => standin.setFault('rejecting'));
      const ids = Array.from({ length: JOBS }, (_, index) => toJobIdText(index + 1));
      const front = cell.boxes.find((box) => box !== leader)!;
      for (const id of ids) {
        expect((await cell.sendJob(front, id, ONE_TASK)).status).toBe(200);
      }
      await waitForDelay(REJECTED_MS);
      if (hasLeaderChange) {
        leader.process.sendSignal('SIGKILL');
        await leader.process.exit;
        cell.startBox(leader);
        await cell.startReady(leader);
        await waitForDelay(REJECTED_MS);
      }
      expect(await readCounts()).toEqual(cell.boxes.map(() => JOBS));
      expect(cell.runChecker.countAllStarts()).toBe(0);
      cell.executors.forEach(({ standin }) => standin.setFault('none'));
      await Promise.all(ids.map((id) => cell.startState(front, id, 'completed')));
      await cell.startUntil(async () => (await readCounts()).every((count) => count === 0));
      expect(cell.runChecker.getViolations()).toEqual([]);
    },
  );
});
