import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';

const createStep = (count: number, fields: object = {}): object => ({
  count,
  cpu: 1000,
  'mem-mb': 100,
  ...fields,
});

describe('a job on the platform', () => {
  let cell: Cell;

  beforeAll(async () => {
    cell = await Cell.create({ boxes: 2, executors: 3, roomPerExecutor: 4 });
  });

  afterAll(async () => {
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  it('completes step after step, and is visible through another box', async () => {
    const [first, second] = cell.boxes as [Cell['boxes'][0], Cell['boxes'][0]];
    const id = '00000000000000a1';
    const body = { spec: '60', steps: [createStep(3), createStep(2, { 'depends-on': [0] })] };
    expect((await cell.sendJob(first, id, body)).status).toBe(200);
    await cell.startState(second, id, 'completed');
    expect(cell.runChecker.countStarts(`${id}.0.0.0`)).toBe(1);
    expect(cell.runChecker.countStarts(`${id}.0.1.1`)).toBe(1);
  });

  it('is created once when its id is submitted twice, through any box', async () => {
    const id = '00000000000000a2';
    const body = { spec: '40', steps: [createStep(1)] };
    const responses = await Promise.all(cell.boxes.map((box) => cell.sendJob(box, id, body)));
    expect(responses.map(({ status }) => status)).toEqual([200, 200]);
    await cell.startState(cell.boxes[0]!, id, 'completed');
    expect((await cell.sendJob(cell.boxes[1]!, id, body)).status).toBe(200);
    expect(cell.runChecker.countStarts(`${id}.0.0.0`)).toBe(1);
  });

  it('is placed by the advice service where its queue needs it', async () => {
    cell.advice.setRejectedEndpoints(['i-0', 'i-1']);
    const id = '00000000000000a3';
    const sent = await cell.sendJob(cell.boxes[0]!, id, { spec: '40', steps: [createStep(2)] }, 'advised');
    expect(sent.status).toBe(200);
    await cell.startUntil(async () => {
      const response = await cell.sendCall(cell.boxes[1]!, 'GET', `/advised/${id}`);
      return response.body.state === 'completed';
    });
    expect(cell.advice.countRequests()).toBeGreaterThan(0);
    cell.advice.setRejectedEndpoints([]);
  });

  it('stops its tasks when it is cancelled, and does not start them again', async () => {
    const id = '00000000000000a4';
    await cell.sendJob(cell.boxes[0]!, id, {
      spec: 'lasts',
      steps: [createStep(2, { 'long-running': true })],
    });
    await cell.startUntil(async () => Promise.resolve(cell.runChecker.countStarts(`${id}.0.0.1`) === 1));
    const cancelled = await cell.sendCall(cell.boxes[1]!, 'DELETE', `/jobs/${id}`);
    expect(cancelled.status).toBe(200);
    expect((await cell.readState(cell.boxes[1]!, id)).body.state).toBe('cancelled');
    await cell.startUntil(() =>
      Promise.resolve(cell.executors.every(({ standin }) => standin.countRuns() === 0)),
    );
    expect(cell.runChecker.countStarts(`${id}.0.0.0`)).toBe(1);
  });

  it('fails after the number of failed runs that its queue allows', async () => {
    cell.executors.forEach(({ standin }) => standin.setFault('failing'));
    const id = '00000000000000a5';
    await cell.sendJob(cell.boxes[0]!, id, { spec: '20', steps: [createStep(1)] });
    await cell.startState(cell.boxes[1]!, id, 'failed');
    cell.executors.forEach(({ standin }) => standin.setFault('none'));
    expect(cell.runChecker.countStarts(`${id}.0.0.0`)).toBe(2);
  });

  it('has its state read through any box from the leader, or from the log while the leader does not respond', async () => {
    const id = '00000000000000b7';
    const leader = await cell.startLeader();
    const other = cell.boxes.find((box) => box !== leader)!;
    /** Reads the state of the job and counts the requests to the log meanwhile, including the boxes' own. */
    const countLogRequests = async (reads: number): Promise<number> => {
      const callsBefore = cell.log.countRequests();
      for (let read = 0; read < reads; read += 1) {
        expect((await cell.readState(other, id)).body.state).toBe('running');
      }
      return cell.log.countRequests() - callsBefore;
    };
    await cell.sendJob(leader, id, { spec: 'lasts', steps: [createStep(1, { 'long-running': true })] });
    await cell.startState(other, id, 'running');
    // A box requests states from the leader again a second after a request failed.
    const waitForLeaderReads = (): Promise<void> =>
      cell.startUntil(async () => (await countLogRequests(200)) < 100);
    await waitForLeaderReads();
    leader.process.sendSignal('SIGSTOP');
    expect((await cell.readState(other, id)).body.state).toBe('running');
    leader.process.sendSignal('SIGCONT');
    expect(await countLogRequests(20)).toBeGreaterThanOrEqual(20);
    await waitForLeaderReads();
    await cell.sendCall(other, 'DELETE', `/jobs/${id}`);
  });

  it('is counted as pending until its first task has begun', async () => {
    const id = '00000000000000a6';
    // No endpoint can hold it. It waits, and delays no other job.
    await cell.sendJob(cell.boxes[0]!, id, { spec: '20', steps: [createStep(1, { cpu: 999_000 })] });
    await cell.startUntil(
      async () => (await cell.sendCall(cell.boxes[1]!, 'GET', '/jobs/')).body.pending === 1,
    );
    const small = '00000000000000a7';
    await cell.sendJob(cell.boxes[0]!, small, { spec: '20', steps: [createStep(1)] });
    await cell.startState(cell.boxes[0]!, small, 'completed');
    expect((await cell.sendCall(cell.boxes[1]!, 'DELETE', `/jobs/${id}`)).status).toBe(200);
  });

  it('runs gangs as a whole, and repeated jobs at their times', async () => {
    const gang = '00000000000000a8';
    await cell.sendJob(cell.boxes[0]!, gang, { spec: '50', steps: [createStep(5, { gang: true })] });
    const timed = '00000000000000a9';
    const first = Date.now() + 300;
    const body = {
      spec: '20',
      steps: [createStep(1)],
      'repeat-count': 2,
      'first-run-ms': first,
      'interval-ms': 300,
    };
    expect((await cell.sendJob(cell.boxes[0]!, timed, body)).status).toBe(200);
    await cell.startState(cell.boxes[0]!, gang, 'completed');
    await cell.startState(cell.boxes[0]!, timed, 'completed');
    expect(Date.now()).toBeGreaterThanOrEqual(first + 300);
    expect(cell.runChecker.countStarts(`${timed}.1.0.0`)).toBe(1);
  });

  it.each([
    ['not JSON', '{'],
    ['no steps', { spec: '', steps: [] }],
    ['no spec', { steps: [createStep(1)] }],
    ['an unknown step in depends-on', { spec: '', steps: [createStep(1, { 'depends-on': [4] })] }],
    [
      'a cycle',
      { spec: '', steps: [createStep(1, { 'depends-on': [1] }), createStep(1, { 'depends-on': [0] })] },
    ],
    ['a negative number', { spec: '', steps: [createStep(1, { cpu: -5 })] }],
    ['a huge number', { spec: '', steps: [createStep(1, { cpu: 1e300 })] }],
    ['a huge count', { spec: '', steps: [createStep(1e9)] }],
    ['a spec over its limit', { spec: 'x'.repeat(4001), steps: [createStep(1)] }],
  ])('is rejected for %s with 400 and a reason, and not stored', async (_name, body) => {
    const id = '00000000000000b1';
    const response = await cell.sendJob(cell.boxes[0]!, id, body);
    expect(response.status).toBe(400);
    expect(response.body.error).toBeTruthy();
    expect((await cell.readState(cell.boxes[0]!, id)).status).toBe(410);
  });

  it('is rejected for a wrong id, a body too large and an unknown queue, and an unknown job is reported', async () => {
    const body = { spec: '20', steps: [createStep(1)] };
    expect((await cell.sendJob(cell.boxes[0]!, 'no-id', body)).status).toBe(400);
    const large = { spec: 'x'.repeat(1_100_000), steps: [createStep(1)] };
    expect((await cell.sendJob(cell.boxes[0]!, '00000000000000b2', large)).status).toBe(413);
    expect((await cell.sendJob(cell.boxes[0]!, '00000000000000b3', body, 'nowhere')).status).toBe(404);
    expect((await cell.readState(cell.boxes[0]!, '00000000000000b4')).status).toBe(410);
    expect((await cell.sendCall(cell.boxes[0]!, 'DELETE', '/jobs/00000000000000b4')).status).toBe(410);
  });

  it('follows a newer configuration on every box', async () => {
    cell.writeConfiguration(5, ['added']);
    await cell.startUntil(async () => {
      const responses = await Promise.all(cell.boxes.map((box) => cell.sendCall(box, 'GET', '/added/')));
      return responses.every(({ status }) => status === 200);
    }, 2000);
    cell.writeConfiguration(4);
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect((await cell.sendCall(cell.boxes[0]!, 'GET', '/added/')).status).toBe(200);
  });
});
