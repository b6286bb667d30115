import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const JOBS = 2000;
const JOBS_AT_ONCE = 100;
const ROUTES = 2000;
const LINK_MEGABITS = 7;
const SPEC = 'x'.repeat(900);
/** Longest response time for a job that the box does not know yet. */
const POINT_READ_MS = 500;
/** Longest response time for a job that the box knows, with all processes of the test on one machine. */
const HELD_MS = 200;

describe('boxes that start together on narrow links, with a large configuration and many jobs', () => {
  let cell: Cell;

  beforeAll(async () => {
    // No capacity, so that all jobs stay queued.
    cell = await Cell.create({ boxes: 3, executors: 1, roomPerExecutor: 0 });
    cell.writeConfiguration(
      2,
      Array.from({ length: ROUTES }, (_, index) => `route-${index}-${'y'.repeat(30)}`),
    );
    const body = JSON.stringify({ spec: SPEC, steps: [{ count: 2, cpu: 1000, 'mem-mb': 100 }] });
    for (let sent = 0; sent < JOBS; sent += JOBS_AT_ONCE) {
      const ids = Array.from({ length: JOBS_AT_ONCE }, (_, index) => toJobIdText(sent + index + 1));
      const responses = await Promise.all(
        ids.map((id, index) => cell.sendJob(cell.boxes[index % 3]!, id, body)),
      );
      expect(responses.every(({ status }) => status === 200)).toBe(true);
    }
    cell.boxes.forEach(({ process }) => process.sendSignal('SIGKILL'));
    await Promise.all(cell.boxes.map(({ process }) => process.exit));
    cell.log.setLinkRate(LINK_MEGABITS);
    cell.boxes.forEach((box) => cell.startBox(box));
  });

  afterAll(async () => {
    await cell.stop();
  });

  it('accept jobs and respond in time during the first read, and know all jobs in the end', async () => {
    const body = JSON.stringify({ spec: 'new', steps: [{ count: 1, cpu: 1000, 'mem-mb': 100 }] });
    await Promise.all(cell.boxes.map((box) => cell.startReady(box)));
    const taken = await cell.sendJob(cell.boxes[0]!, toJobIdText(JOBS + 1), body);
    expect(taken.status).toBe(200);
    const unknown = await cell.readState(cell.boxes[1]!, toJobIdText(JOBS + 2));
    expect([410, 503]).toContain(unknown.status);
    expect(unknown.tookMs).toBeLessThan(POINT_READ_MS);
    // Jobs from the start, the middle and the end of the keys.
    for (const box of cell.boxes) {
      for (const number of [1, JOBS / 2, JOBS]) {
        await cell.startState(box, toJobIdText(number), 'queued', 20_000);
        const known = await cell.readState(box, toJobIdText(number));
        expect(known.tookMs).toBeLessThan(HELD_MS);
      }
    }
  });

  it('log a failed first read, and resume it after the pages that were read', async () => {
    const box = cell.boxes[2]!;
    box.process.sendSignal('SIGKILL');
    await box.process.exit;
    cell.log.setFault('busy', box.name);
    cell.startBox(box);
    await cell.startUntil(() =>
      Promise.resolve(box.process.readOutput().includes('"Topic cannot be read."')),
    );
    cell.log.setFault('none', box.name);
    await cell.startReady(box);
    await cell.startState(box, toJobIdText(JOBS), 'queued', 20_000);
  });
});
