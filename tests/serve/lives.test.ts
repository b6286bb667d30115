/*
 * What users saw: two tasks that had ended as done, and whose ends had been taken note of, were started again, one 0.08 s later on the same
 * endpoint, one 0.68 s later on another.
 *
 * Order of events: an endpoint starts again under its id, knowing nothing of before, and counts its ends from 1; the leader goes on as if it
 * were the same one; a task ends there as done; the next look acknowledges "up to N" with the N of the life before, so that the endpoint
 * forgets the end before any answer has listed it; the answer lists the run neither as running nor as ended, which counts as proof that it
 * does not run; the task is started again.
 *
 * Cause: a name was taken for an identity. Whatever the leader knew of an endpoint was kept under its id, and outlived the endpoint's life.
 *
 * Evidence, from the leader's lines of one such run on the code as it was: 15 times `Endpoint has started again under its id.`, with 8 to 37 ends
 * acknowledged to the life before and none listed by the new one; then 173 of 300 tasks' runs in `Run ended.` with the cause `notListed`. From
 * the endpoints' side: ends that were acknowledged although no answer had listed them, each followed by another start of its task.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { waitForDelay } from '../../packages/common/waitForDelay';

const JOBS = 30;
const JOB_EVERY_MS = 250;
const TASK_MS = 250;
const EXECUTORS = 6;
/** Half of the executors start again at a time, by turns. */
const RESTARTS = 5;
const RESTART_EVERY_MS = 1600;
const END_MS = 40_000;
const WAYS_BACK = [
  { downMs: 0, recordAfterMs: 0 },
  { downMs: 100, recordAfterMs: 0 },
  { downMs: 0, recordAfterMs: 700 },
];

describe('endpoints that start again under their ids, with real processes', () => {
  let cell: Cell;

  afterEach(async () => {
    await cell.stop();
  });

  const sendJobs = async (): Promise<readonly string[]> => {
    const ids = Array.from({ length: JOBS }, (_, index) => toJobIdText(index + 1));
    for (const id of ids) {
      const body = { spec: String(TASK_MS), steps: [{ count: 10, cpu: 1000, 'mem-mb': 100 }] };
      expect((await cell.sendJob(cell.boxes[1]!, id, body)).status).toBe(200);
      await waitForDelay(JOB_EVERY_MS);
    }
    return ids;
  };

  const startRestarts = async (downMs: number, recordAfterMs: number): Promise<void> => {
    for (let count = 0; count < RESTARTS; count += 1) {
      await waitForDelay(RESTART_EVERY_MS);
      for (let index = count % 2; index < EXECUTORS; index += 2) {
        void cell.startExecutorAgain(`i-${index}`, { downMs, recordAfterMs });
      }
    }
  };

  it('run nothing twice, and every job is done, however soon they and their records are back', async () => {
    for (const { downMs, recordAfterMs } of WAYS_BACK) {
      cell = await Cell.create({ boxes: 2, executors: EXECUTORS, roomPerExecutor: 4, keepsIds: true });
      const [ids] = await Promise.all([sendJobs(), startRestarts(downMs, recordAfterMs)]);
      await Promise.all(ids.map((id) => cell.startState(cell.boxes[0]!, id, 'completed', END_MS)));
      expect(cell.runChecker.getViolations()).toEqual([]);
      await cell.stop();
    }
  });
});
