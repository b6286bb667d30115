/*
 * Guards against a box that refuses jobs although the leader could accept them: it lost access to the log right after its start, before it had
 * read from the log who leads and at which address.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const BODY = { spec: '20', steps: [{ count: 1, cpu: 1000, 'mem-mb': 100 }] };
/** Time in which an inactive leader is replaced and the new one announced to all boxes. */
const LEARN_MS = 4000;
/** Duration of one append to the slow log. */
const SLOW_MS = 240;

describe('a box without access to the log', () => {
  let cell: Cell;

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  it('learns of the leader from its announcement, and accepts jobs through it', async () => {
    cell = await Cell.create({ boxes: 1, laterBoxes: 2, executors: 2, roomPerExecutor: 4 });
    const isolated = await cell.startLeader();
    cell.log.setFault('busy', isolated.name);
    await cell.startLaterBoxes();
    await cell.startUntil(async () => Promise.resolve(cell.readLeaders().some((box) => box !== isolated)));
    await waitForDelay(LEARN_MS);
    expect((await cell.sendJob(isolated, toJobIdText(1), BODY)).status).toBe(200);
    await cell.startState(isolated, toJobIdText(1), 'completed');
    expect(cell.readLeaders()).not.toContain(isolated);
  });

  it('accepts jobs through the leader also while the log is slow', async () => {
    cell = await Cell.create({ boxes: 3, executors: 2, roomPerExecutor: 4 });
    const leader = await cell.startLeader();
    const isolated = cell.boxes.find((one) => one !== leader)!;
    await waitForDelay(1500);
    cell.log.setLatency(SLOW_MS);
    cell.log.setFault('busy', isolated.name);
    await waitForDelay(2500);
    for (let number = 1; number <= 5; number += 1) {
      expect((await cell.sendJob(isolated, toJobIdText(number), BODY)).status).toBe(200);
    }
  });
});
