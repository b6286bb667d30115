import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

describe('leadership', () => {
  let cell: Cell;

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  const waitForLeader = (name: string): Promise<void> =>
    cell.startUntil(async () => (await cell.startLeader()).name === name);

  it('moves to a stronger box, to a weaker one when that ends, and back', async () => {
    cell = await Cell.create({ boxes: 3, executors: 2, roomPerExecutor: 2, strongBoxes: 1 });
    const strong = cell.boxes[0]!;
    await waitForLeader(strong.name);
    strong.process.sendSignal('SIGKILL');
    await strong.process.exit;
    await cell.startUntil(async () => (await cell.startLeader()).name !== strong.name);
    const body = JSON.stringify({ spec: '100', steps: [{ count: 2, cpu: 1000, 'mem-mb': 100 }] });
    expect((await cell.sendJob(cell.boxes[1]!, toJobIdText(1), body)).status).toBe(200);
    await cell.startState(cell.boxes[1]!, toJobIdText(1), 'completed');
    cell.startBox(strong);
    await cell.startReady(strong);
    await waitForLeader(strong.name);
  });

  it('stays active while only the progress of a long job changes', async () => {
    cell = await Cell.create({ boxes: 3, executors: 4, roomPerExecutor: 3 });
    await cell.startLeader();
    const body = JSON.stringify({ spec: '60', steps: [{ count: 700, cpu: 1000, 'mem-mb': 100 }] });
    const box = cell.boxes[0]!;
    expect((await cell.sendJob(box, toJobIdText(1), body)).status).toBe(200);
    await cell.startState(box, toJobIdText(1), 'completed', 40_000);
    const claims = cell.boxes.filter(({ process }) => process.readOutput().includes('leader is silent'));
    expect(claims).toEqual([]);
  });
});
