import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const EXECUTORS = 120;
const JOBS = 900;
const JOBS_AT_ONCE = 60;
const TASK_MS = 1500;
/** Several times as long as it takes to replace a leader that sends no heartbeats. */
const WATCHED_MS = 5000;

describe('a backlog of jobs that need advice', () => {
  let cell: Cell;

  beforeAll(async () => {
    cell = await Cell.create({ boxes: 3, executors: EXECUTORS, roomPerExecutor: 1 });
  });

  afterAll(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  /** Returns how often a box has claimed leadership because the leader was inactive. */
  const countTimeoutClaims = (): number =>
    cell.boxes.reduce(
      (sum, { process }) => sum + process.readOutput().split('leader is silent').length - 1,
      0,
    );

  it('does not delay the heartbeats of a new leader', async () => {
    const leader = await cell.startLeader();
    const box = cell.boxes.find((box) => box !== leader)!;
    const body = { spec: String(TASK_MS), steps: [{ count: 4, cpu: 1000, 'mem-mb': 100 }] };
    for (let sent = 0; sent < JOBS; sent += JOBS_AT_ONCE) {
      const ids = Array.from({ length: JOBS_AT_ONCE }, (_, index) => toJobIdText(sent + index + 1));
      const responses = await Promise.all(
        ids.map((id) => cell.sendJob(box, id, JSON.stringify(body), 'advised')),
      );
      expect(responses.every(({ status }) => status === 200)).toBe(true);
    }
    leader.process.sendSignal('SIGKILL');
    await leader.process.exit;
    await cell.startLeader();
    const claimsBefore = countTimeoutClaims();
    const startsBefore = cell.runChecker.countAllStarts();
    await new Promise((resolve) => setTimeout(resolve, WATCHED_MS));
    expect(countTimeoutClaims()).toBe(claimsBefore);
    // Each endpoint runs one task at a time, several during the time watched.
    expect(cell.runChecker.countAllStarts() - startsBefore).toBeGreaterThan(EXECUTORS);
  });
});
