import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';

const createStep = (count: number, fields: object = {}): object => ({
  count,
  cpu: 1000,
  'mem-mb': 100,
  ...fields,
});
const LASTING_JOB = { spec: 'lasts', steps: [createStep(1, { 'long-running': true })] };

describe('faults while jobs run', () => {
  let cell: Cell;

  beforeEach(async () => {
    cell = await Cell.create({ boxes: 3, executors: 4, roomPerExecutor: 3 });
  });

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  /** Submits jobs of two steps and returns their ids. */
  const sendJobs = async (count: number, runMs: number): Promise<string[]> => {
    const ids = Array.from({ length: count }, (_, index) => toJobIdText(index + 1));
    const body = { spec: String(runMs), steps: [createStep(2), createStep(2, { 'depends-on': [0] })] };
    const box = cell.boxes[0]!;
    const responses = await Promise.all(ids.map((id) => cell.sendJob(box, id, body)));
    expect(responses.every(({ status }) => status === 200)).toBe(true);
    return ids;
  };

  const waitForCompletion = async (ids: readonly string[], timeoutMs = 25_000): Promise<void> => {
    const box = cell.boxes.find(({ process }) => process.isAlive())!;
    await Promise.all(ids.map((id) => cell.startState(box, id, 'completed', timeoutMs)));
  };

  it('keeps every accepted job when all processes are killed right after its start', async () => {
    const ids = await sendJobs(6, 300);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() > 4));
    cell.boxes.forEach(({ process }) => process.sendSignal('SIGKILL'));
    await Promise.all(cell.boxes.map(({ process }) => process.exit));
    // Runs end while no leader polls their endpoints. The next leader has to handle their ends.
    await new Promise((resolve) => setTimeout(resolve, 500));
    cell.boxes.forEach((box) => cell.startBox(box));
    await waitForCompletion(ids);
  });

  it('continues under another leader when the leader is killed', async () => {
    const ids = await sendJobs(6, 400);
    const leader = await cell.startLeader();
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() > 4));
    leader.process.sendSignal('SIGKILL');
    await leader.process.exit;
    await waitForCompletion(ids);
  });

  it('lets a paused leader send no commands once another box leads', async () => {
    const leader = await cell.startLeader();
    const ids = await sendJobs(6, 600);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() > 4));
    leader.process.sendSignal('SIGSTOP');
    const others = cell.boxes.filter((box) => box !== leader);
    await cell.startUntil(() =>
      Promise.resolve(others.some(({ process }) => process.readOutput().includes('"Leading."'))),
    );
    leader.process.sendSignal('SIGCONT');
    await waitForCompletion(ids);
    await cell.startUntil(() => Promise.resolve(leader.process.readOutput().includes('"Stopped leading."')));
  });

  it('hands leadership over without a gap when the leader stops gracefully', async () => {
    const leader = await cell.startLeader();
    const ids = await sendJobs(4, 500);
    leader.process.sendSignal('SIGTERM');
    const stoppedAt = performance.now();
    const others = cell.boxes.filter((box) => box !== leader);
    await cell.startUntil(() =>
      Promise.resolve(others.some(({ process }) => process.readOutput().includes('"Leading."'))),
    );
    expect(performance.now() - stoppedAt).toBeLessThan(1500);
    expect(await leader.process.exit).toBe(0);
    const other = others[0]!;
    await Promise.all(ids.map((id) => cell.startState(other, id, 'completed')));
  });

  it('replaces a killed leader as soon as the end of its process is detected', async () => {
    const leader = await cell.startLeader();
    // Time for the other boxes to learn of the leader.
    await new Promise((resolve) => setTimeout(resolve, 1200));
    leader.process.sendSignal('SIGKILL');
    const killedAt = performance.now();
    const others = cell.boxes.filter((box) => box !== leader);
    await cell.startUntil(() =>
      Promise.resolve(others.some(({ process }) => process.readOutput().includes('"Leading."'))),
    );
    expect(performance.now() - killedAt).toBeLessThan(1200);
    expect(others.some(({ process }) => process.readOutput().includes('process has ended'))).toBe(true);
  });

  it('hands leadership to a box with access to the log when the leader loses it', async () => {
    const leader = await cell.startLeader();
    const ids = await sendJobs(3, 400);
    await new Promise((resolve) => setTimeout(resolve, 1200));
    cell.log.setFault('busy', leader.name);
    const deniedAt = performance.now();
    await cell.startUntil(async () => !(await cell.isTakingCallers(leader)), 3000);
    const others = cell.boxes.filter((box) => box !== leader);
    await cell.startUntil(() =>
      Promise.resolve(others.some(({ process }) => process.readOutput().includes('"Leading."'))),
    );
    expect(performance.now() - deniedAt).toBeLessThan(1600);
    expect(others.some(({ process }) => process.readOutput().includes('the leader handed over'))).toBe(true);
    await Promise.all(ids.map((id) => cell.startState(others[0]!, id, 'completed')));
  });

  it('renews leases when the leader is stopped while the log is unavailable to all boxes', async () => {
    const leader = await cell.startLeader();
    const [long] = await sendJobs(1, 4500);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 2));
    await new Promise((resolve) => setTimeout(resolve, 600));
    cell.log.setFault('busy');
    await new Promise((resolve) => setTimeout(resolve, 500));
    leader.process.sendSignal('SIGTERM');
    await new Promise((resolve) => setTimeout(resolve, 2500));
    cell.log.setFault('none');
    const other = cell.boxes.find((box) => box !== leader)!;
    await cell.startState(other, long!, 'completed', 20_000);
    // An expired lease would have caused a second run.
    expect(cell.runChecker.countStarts(`${long!}.0.0.0`)).toBe(1);
    expect(cell.runChecker.countStarts(`${long!}.0.0.1`)).toBe(1);
  });

  it('refuses jobs at once with a retry time while the log is unresponsive, and recovers afterwards', async () => {
    const box = cell.boxes[0]!;
    const [long] = await sendJobs(1, 3000);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 2));
    cell.log.setFault('silent');
    await cell.sendJob(box, toJobIdText(100), { spec: '20', steps: [createStep(1)] });
    await new Promise((resolve) => setTimeout(resolve, 1500));
    const callsBefore = cell.log.countRequests();
    const refused = await cell.sendJob(box, toJobIdText(101), { spec: '20', steps: [createStep(1)] });
    expect(refused.status).toBe(503);
    expect(refused.retryAfter).toBeGreaterThanOrEqual(1);
    expect(refused.tookMs).toBeLessThan(200);
    await new Promise((resolve) => setTimeout(resolve, 2000));
    // Requests of three boxes with three followers each, and those of the leader.
    expect(cell.log.countRequests() - callsBefore).toBeLessThan(60);
    cell.log.setFault('none');
    await cell.startState(box, long!, 'completed');
    expect(cell.runChecker.countStarts(`${long!}.0.0.0`)).toBe(1);
    await cell.startUntil(
      async () =>
        (await cell.sendJob(box, toJobIdText(101), { spec: '20', steps: [createStep(1)] })).status === 200,
    );
  });

  it('applies a configuration that is written right after an outage of the log within two seconds', async () => {
    // Every box starts a long poll for the next version just before the outage, which loses the response.
    cell.writeConfiguration(2);
    await new Promise((resolve) => setTimeout(resolve, 80));
    cell.log.setFault('silent');
    await new Promise((resolve) => setTimeout(resolve, 200));
    cell.log.setFault('none');
    cell.writeConfiguration(3, ['added']);
    await cell.startUntil(async () => {
      const responses = await Promise.all(cell.boxes.map((box) => cell.sendCall(box, 'GET', '/added/')));
      return responses.every(({ status }) => status === 200);
    }, 2000);
  });

  it('never reports a job as refused that may have been accepted, when responses of the log are lost', async () => {
    const box = cell.boxes[0]!;
    await cell.startLeader();
    cell.log.setFault('loseAnswers');
    const response = await cell.sendJob(box, toJobIdText(1), { spec: '20', steps: [createStep(1)] });
    expect(response.status).toBe(504);
    cell.log.setFault('none');
    expect((await cell.sendJob(box, toJobIdText(1), { spec: '20', steps: [createStep(1)] })).status).toBe(
      200,
    );
    await waitForCompletion([toJobIdText(1)]);
  });

  it('never runs a task twice when start commands time out and take effect late', async () => {
    cell.executors.slice(0, 2).forEach(({ standin }) => standin.setFault('lateStarts'));
    const ids = await sendJobs(4, 200);
    await waitForCompletion(ids);
    await new Promise((resolve) => setTimeout(resolve, 1800));
  });

  it('keeps using an endpoint whose record expired during an outage of the log for a grace period', async () => {
    const leader = await cell.startLeader();
    cell.log.setFault('silent');
    await cell.startUntil(() =>
      Promise.resolve(/cannot be read.*keyed\.servers/.test(leader.process.readOutput())),
    );
    cell.executors.forEach(({ id }) => cell.log.writeRecord('keyed.servers', id, ''));
    // The log recovers before the endpoints register again.
    cell.log.setFault('none');
    const box = cell.boxes[0]!;
    await cell.startUntil(async () => (await cell.sendJob(box, toJobIdText(1), LASTING_JOB)).status === 200);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 1), 1500);
    // The recovery of the log must not change the leader.
    expect(await cell.startLeader()).toBe(leader);
    // After the grace period, the deregistered endpoints get no new tasks.
    await new Promise((resolve) => setTimeout(resolve, 2500));
    await cell.sendJob(box, toJobIdText(2), LASTING_JOB);
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(cell.runChecker.countAllStarts()).toBe(1);
    cell.executors.forEach(({ id, address }) => cell.writeExecutor(id, address, 'ready'));
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 2));
  });

  it('restarts the tasks of an unreachable endpoint elsewhere after its lease, and uses it again once it responds', async () => {
    const ids = await sendJobs(5, 900);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() >= 6));
    const unreachable = cell.executors.find(({ standin }) => standin.countRuns() > 0)!;
    unreachable.standin.setFault('silent');
    await waitForCompletion(ids);
    unreachable.standin.setFault('none');
    const more = await cell.sendJob(cell.boxes[0]!, toJobIdText(50), {
      spec: '100',
      steps: [createStep(12)],
    });
    expect(more.status).toBe(200);
    await waitForCompletion([toJobIdText(50)]);
  });
});
