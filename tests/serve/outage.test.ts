import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const EXECUTORS = 6;
const SLOTS = 3;
/** Longer than a lease (4 s), shorter than a leader may renew leases without the log (8 s). */
const OUTAGE_MS = 6000;
const SHORT_MS = 400;
const LONG_MS = 9000;
/** Longest time from the recovery of the log to the first start. */
const FIRST_START_MS = 300;

const createBody = (count: number, runMs: number): string =>
  JSON.stringify({ spec: String(runMs), steps: [{ count, cpu: 1000, 'mem-mb': 100, 'anti-affinity': 1 }] });

const waitFor = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

describe('an outage of the log that is longer than a lease', () => {
  let cell: Cell;

  beforeEach(async () => {
    cell = await Cell.create({ boxes: 3, executors: EXECUTORS, roomPerExecutor: SLOTS });
  });

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  it('ends no runs on endpoints where another run ended at its beginning', async () => {
    const box = cell.boxes[0]!;
    const [long, short] = [toJobIdText(1), toJobIdText(2)];
    expect((await cell.sendJob(box, long, createBody(EXECUTORS, LONG_MS))).status).toBe(200);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === EXECUTORS));
    expect((await cell.sendJob(box, short, createBody(EXECUTORS, SHORT_MS))).status).toBe(200);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 2 * EXECUTORS));
    cell.log.setFault('silent');
    await waitFor(OUTAGE_MS);
    cell.log.setFault('none');
    await cell.startState(box, short, 'completed');
    await cell.startState(box, long, 'completed');
    expect(cell.runChecker.countAllStarts()).toBe(2 * EXECUTORS);
  });

  it('does not delay jobs when it interrupts a read of the jobs topic by the leader', async () => {
    const leader = await cell.startLeader();
    const box = cell.boxes.find((one) => one !== leader)!;
    // The leader's read of the endpoint records begins some 300 ms after this, and its read of the jobs right before the outage, so
    // that the latter would time out a second later.
    const { id, address } = cell.executors[0]!;
    cell.writeExecutor(id, address, 'ready');
    await waitFor(1250);
    await cell.sendJob(box, toJobIdText(1), createBody(1, 20));
    await cell.startState(box, toJobIdText(1), 'completed');
    cell.log.setFault('silent');
    await cell.startUntil(() =>
      Promise.resolve(/cannot be read.*keyed\.servers/.test(leader.process.readOutput())),
    );
    cell.log.setFault('none');
    await cell.startUntil(
      async () => (await cell.sendJob(box, toJobIdText(2), createBody(1, 20))).status === 200,
    );
    const acceptedAt = performance.now();
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 2));
    expect(performance.now() - acceptedAt).toBeLessThan(FIRST_START_MS);
  });

  it('is followed at once by starts with valid tickets, in capacity that was freed during it', async () => {
    const box = cell.boxes[0]!;
    const [first, second] = [toJobIdText(1), toJobIdText(2)];
    const fullLoad = JSON.stringify({
      spec: '1500',
      steps: [{ count: EXECUTORS * SLOTS, cpu: 1000, 'mem-mb': 100 }],
    });
    await cell.sendJob(box, first, fullLoad, 'advised');
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === EXECUTORS * SLOTS));
    await cell.sendJob(box, second, fullLoad, 'advised');
    await waitFor(300);
    cell.log.setFault('silent');
    await waitFor(OUTAGE_MS);
    expect(cell.runChecker.countAllStarts()).toBe(EXECUTORS * SLOTS);
    cell.log.setFault('none');
    const recoveredAt = performance.now();
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() > EXECUTORS * SLOTS));
    expect(performance.now() - recoveredAt).toBeLessThan(FIRST_START_MS);
    await cell.startState(box, second, 'completed');
    const expired = cell.executors.reduce((sum, { standin }) => sum + standin.countExpiredTickets(), 0);
    expect(expired).toBe(0);
    expect(cell.runChecker.countAllStarts()).toBe(2 * EXECUTORS * SLOTS);
  });
});
