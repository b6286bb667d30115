import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const RUN_MS = 1000;
/** Takes 100 s on two endpoints with two tasks each, which makes later jobs miss their objectives. */
const BACKLOG_JOB = { spec: String(RUN_MS), steps: [{ count: 400, cpu: 1000, 'mem-mb': 100 }] };
const SHORT_JOB = { spec: '10', steps: [{ count: 2, cpu: 1000, 'mem-mb': 100 }] };

describe('a box that refuses jobs by load', () => {
  let cell: Cell;

  beforeEach(async () => {
    cell = await Cell.create({ boxes: 2, executors: 2, roomPerExecutor: 2, args: ['--door', 'load'] });
  });

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  it(
    'refuses hopeless jobs by the published load on every box, and never an accepted job',
    { timeout: 30_000 },
    async () => {
      const backlog = toJobIdText(1);
      expect((await cell.sendJob(cell.boxes[0]!, backlog, BACKLOG_JOB)).status).toBe(200);
      const refused: string[] = [];
      for (const [number, box] of cell.boxes.entries()) {
        let id = '';
        let count = 0;
        await cell.startUntil(async () => {
          id = toJobIdText(100 * (number + 1) + (count += 1));
          const response = await cell.sendJob(box, id, SHORT_JOB);
          expect([200, 429]).toContain(response.status);
          expect(response.status === 200 || response.retryAfter! >= 1).toBe(true);
          return response.status === 429;
        }, 12_000);
        refused.push(id);
        expect(box.process.readOutput()).toContain('Job refused: it could not be useful in time.');
      }
      for (const box of cell.boxes) {
        expect((await cell.sendJob(box, backlog, BACKLOG_JOB)).status).toBe(200);
      }
      for (const id of refused) {
        expect((await cell.sendCall(cell.boxes[0]!, 'GET', `/jobs/${id}`)).status).toBe(410);
        expect(cell.runChecker.countStarts(`${id}.0.0.0`)).toBe(0);
      }
    },
  );
});
