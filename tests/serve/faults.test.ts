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

describe('faults around a job', () => {
  let cell: Cell;

  beforeEach(async () => {
    cell = await Cell.create({ boxes: 3, executors: 4, roomPerExecutor: 3 });
  });

  afterEach(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  /** Submits jobs of two steps and gives their ids. */
  const sendJobs = async (count: number, runMs: number): Promise<string[]> => {
    const ids = Array.from({ length: count }, (_, index) => toJobIdText(index + 1));
    const body = { spec: String(runMs), steps: [createStep(2), createStep(2, { 'depends-on': [0] })] };
    const box = cell.boxes[0]!;
    const answers = await Promise.all(ids.map((id) => cell.sendJob(box, id, body)));
    expect(answers.every(({ status }) => status === 200)).toBe(true);
    return ids;
  };

  const startAllCompleted = async (ids: readonly string[], timeoutMs = 25_000): Promise<void> => {
    const box = cell.boxes.find(({ process }) => process.isAlive())!;
    await Promise.all(ids.map((id) => cell.startState(box, id, 'completed', timeoutMs)));
  };

  it('keeps every accepted job when all processes are killed right after accepting and starting it', async () => {
    const ids = await sendJobs(6, 300);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() > 4));
    cell.boxes.forEach(({ process }) => process.sendSignal('SIGKILL'));
    await Promise.all(cell.boxes.map(({ process }) => process.exit));
    // Runs end while nobody looks: their ends must be understood by the next leader.
    await new Promise((resolve) => setTimeout(resolve, 500));
    cell.boxes.forEach((box) => cell.startBox(box));
    await startAllCompleted(ids);
  });

  it('goes on under another leader when the leader is killed', async () => {
    const ids = await sendJobs(6, 400);
    const leader = await cell.startLeader();
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() > 4));
    leader.process.sendSignal('SIGKILL');
    await leader.process.exit;
    await startAllCompleted(ids);
  });

  it('lets a leader that was paused give no more orders once another leads', async () => {
    const leader = await cell.startLeader();
    const ids = await sendJobs(6, 600);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() > 4));
    leader.process.sendSignal('SIGSTOP');
    const others = cell.boxes.filter((box) => box !== leader);
    await cell.startUntil(() =>
      Promise.resolve(others.some(({ process }) => process.readOutput().includes('"Leading."'))),
    );
    leader.process.sendSignal('SIGCONT');
    await startAllCompleted(ids);
    await cell.startUntil(() => Promise.resolve(leader.process.readOutput().includes('"Leading no more."')));
  });

  it('hands leadership over without a gap when the leader is stopped by plan', async () => {
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
    const survivor = others[0]!;
    await Promise.all(ids.map((id) => cell.startState(survivor, id, 'completed')));
  });

  it('replaces a killed leader as soon as its process is seen to have ended', async () => {
    const leader = await cell.startLeader();
    // Time for the others to hear who leads.
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

  it('hands leadership to a box that the log serves when the log turns the leader away', async () => {
    const leader = await cell.startLeader();
    const ids = await sendJobs(3, 400);
    await new Promise((resolve) => setTimeout(resolve, 1200));
    cell.log.setFault('busy', leader.name);
    const turnedAwayAt = performance.now();
    await cell.startUntil(async () => !(await cell.isTakingCallers(leader)), 3000);
    const others = cell.boxes.filter((box) => box !== leader);
    await cell.startUntil(() =>
      Promise.resolve(others.some(({ process }) => process.readOutput().includes('"Leading."'))),
    );
    expect(performance.now() - turnedAwayAt).toBeLessThan(1600);
    expect(others.some(({ process }) => process.readOutput().includes('the leader handed over'))).toBe(true);
    await Promise.all(ids.map((id) => cell.startState(others[0]!, id, 'completed')));
  });

  it('keeps what runs leased when the leader is stopped by plan while the log is out for all', async () => {
    const leader = await cell.startLeader();
    const [long] = await sendJobs(1, 4500);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 2));
    await new Promise((resolve) => setTimeout(resolve, 600));
    cell.log.setFault('busy');
    await new Promise((resolve) => setTimeout(resolve, 500));
    leader.process.sendSignal('SIGTERM');
    await new Promise((resolve) => setTimeout(resolve, 2500));
    cell.log.setFault('none');
    const survivor = cell.boxes.find((box) => box !== leader)!;
    await cell.startState(survivor, long!, 'completed', 20_000);
    // A lease that ran out in between would have made a second run necessary.
    expect(cell.runChecker.countStarts(`${long!}.0.0.0`)).toBe(1);
    expect(cell.runChecker.countStarts(`${long!}.0.0.1`)).toBe(1);
  });

  it('answers at once while the log is silent, with a time to come back, and goes on afterwards', async () => {
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
    // Three boxes with three followers each, and the leader's writes and endpoints.
    expect(cell.log.countRequests() - callsBefore).toBeLessThan(60);
    cell.log.setFault('none');
    await cell.startState(box, long!, 'completed');
    expect(cell.runChecker.countStarts(`${long!}.0.0.0`)).toBe(1);
    await cell.startUntil(
      async () =>
        (await cell.sendJob(box, toJobIdText(101), { spec: '20', steps: [createStep(1)] })).status === 200,
    );
  });

  it('takes a configuration that is written right after a silence of the log into force within two seconds', async () => {
    // Every box begins to wait for the next version just before the silence, which takes the answer.
    cell.writeConfiguration(2);
    await new Promise((resolve) => setTimeout(resolve, 80));
    cell.log.setFault('silent');
    await new Promise((resolve) => setTimeout(resolve, 200));
    cell.log.setFault('none');
    cell.writeConfiguration(3, ['added']);
    await cell.startUntil(async () => {
      const answers = await Promise.all(cell.boxes.map((box) => cell.sendCall(box, 'GET', '/added/')));
      return answers.every(({ status }) => status === 200);
    }, 2000);
  });

  it('never says refused of a job that may have been taken, when the answers of the log are lost', async () => {
    const box = cell.boxes[0]!;
    await cell.startLeader();
    cell.log.setFault('loseAnswers');
    const answer = await cell.sendJob(box, toJobIdText(1), { spec: '20', steps: [createStep(1)] });
    expect(answer.status).toBe(504);
    cell.log.setFault('none');
    expect((await cell.sendJob(box, toJobIdText(1), { spec: '20', steps: [createStep(1)] })).status).toBe(
      200,
    );
    await startAllCompleted([toJobIdText(1)]);
  });

  it('never runs a task twice when starts get no answer and are carried out late', async () => {
    cell.executors.slice(0, 2).forEach(({ standin }) => standin.setFault('lateStarts'));
    const ids = await sendJobs(4, 200);
    await startAllCompleted(ids);
    await new Promise((resolve) => setTimeout(resolve, 1800));
  });

  it('goes on using an endpoint whose record lapsed while the log was away, for as long as it may take to be back', async () => {
    const leader = await cell.startLeader();
    cell.log.setFault('silent');
    await cell.startUntil(() =>
      Promise.resolve(/cannot be read.*keyed\.servers/.test(leader.process.readOutput())),
    );
    cell.executors.forEach(({ id }) => cell.log.writeRecord('keyed.servers', id, ''));
    // The log shows its return before the endpoints do.
    cell.log.setFault('none');
    const box = cell.boxes[0]!;
    await cell.startUntil(async () => (await cell.sendJob(box, toJobIdText(1), LASTING_JOB)).status === 200);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 1), 1500);
    // The return of the log for all is no reason to change the leader.
    expect(await cell.startLeader()).toBe(leader);
    // None has come back: they are taken as gone, and get nothing new.
    await new Promise((resolve) => setTimeout(resolve, 2500));
    await cell.sendJob(box, toJobIdText(2), LASTING_JOB);
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(cell.runChecker.countAllStarts()).toBe(1);
    cell.executors.forEach(({ id, address }) => cell.writeExecutor(id, address, 'ready'));
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() === 2));
  });

  it('starts the work of a silent endpoint elsewhere only after its lease, and uses it again when it answers', async () => {
    const ids = await sendJobs(5, 900);
    await cell.startUntil(() => Promise.resolve(cell.runChecker.countAllStarts() >= 6));
    const silent = cell.executors.find(({ standin }) => standin.countRuns() > 0)!;
    silent.standin.setFault('silent');
    await startAllCompleted(ids);
    silent.standin.setFault('none');
    const more = await cell.sendJob(cell.boxes[0]!, toJobIdText(50), {
      spec: '100',
      steps: [createStep(12)],
    });
    expect(more.status).toBe(200);
    await startAllCompleted([toJobIdText(50)]);
  });
});
