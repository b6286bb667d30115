/*
 * Guards against a job that waits for good: it was accepted while its queue was on another service, all of whose endpoints are taken, and the newest
 * version of the configuration no longer has that service.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { chooseFreePorts } from '../../dev/fleet/chooseFreePorts';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { waitForDelay } from '../../packages/common/waitForDelay';

const NEW_SERVICE = 'service-b';
const LASTING = { spec: 'lasts', steps: [{ count: 1, cpu: 1000, 'mem-mb': 100, 'long-running': true }] };
const WAITING = { spec: '20', steps: [{ count: 2, cpu: 1000, 'mem-mb': 100 }] };
/** Time until a box has read a version of the configuration, and a job that may start has started. */
const APPLIED_MS = 1500;
/** Longest time after which an endpoint ends runs whose lease nobody renews. */
const LONGEST_LEASE_MS = 11_000;

describe('a queue that a new version of the configuration gives another service', () => {
  let cell: Cell;

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  const startWaitingJob = async (job: object = WAITING): Promise<void> => {
    cell = await Cell.create({ boxes: 2, executors: 1, roomPerExecutor: 1 });
    const [port] = await chooseFreePorts(1);
    await cell.startExecutor('i-new', `127.0.0.1:${port}`, 0, NEW_SERVICE);
    const [box] = cell.boxes;
    expect((await cell.sendJob(box!, toJobIdText(1), LASTING)).status).toBe(200);
    await cell.startState(box!, toJobIdText(1), 'running');
    expect((await cell.sendJob(box!, toJobIdText(2), job)).status).toBe(200);
    await waitForDelay(APPLIED_MS);
    expect((await cell.readState(box!, toJobIdText(2))).body.state).toBe('queued');
  };

  it('runs its waiting jobs there', async () => {
    await startWaitingJob();
    cell.writeConfiguration(2, [], undefined, NEW_SERVICE);
    await cell.startState(cell.boxes[0]!, toJobIdText(2), 'completed', 4000);
  });

  it('runs its waiting jobs there under the next leader too', async () => {
    await startWaitingJob();
    const leader = await cell.startLeader();
    await leader.process.stop();
    cell.writeConfiguration(2, [], undefined, NEW_SERVICE);
    const other = cell.boxes.find((box) => box !== leader)!;
    await cell.startState(other, toJobIdText(2), 'completed');
  });

  it('runs its waiting jobs there when the leader is killed right after two versions in quick succession', async () => {
    await startWaitingJob();
    const leader = await cell.startLeader();
    cell.writeConfiguration(2, [], undefined, 'service-c');
    cell.writeConfiguration(3, [], undefined, NEW_SERVICE);
    leader.process.sendSignal('SIGKILL');
    const other = cell.boxes.find((box) => box !== leader)!;
    await cell.startState(other, toJobIdText(2), 'completed');
  });

  it('keeps the runs there under the next leader when it is given a third service', async () => {
    await startWaitingJob({ ...LASTING, steps: [{ ...LASTING.steps[0], count: 2 }] });
    cell.writeConfiguration(2, [], undefined, NEW_SERVICE);
    await cell.startState(cell.boxes[0]!, toJobIdText(2), 'running', 4000);
    cell.writeConfiguration(3, [], undefined, 'service-c');
    await waitForDelay(APPLIED_MS);
    await (await cell.startLeader()).process.stop();
    await waitForDelay(LONGEST_LEASE_MS);
    expect(cell.executors.find(({ id }) => id === 'i-new')?.standin.countRuns()).toBe(1);
  });
});
