import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { chooseFreePorts } from '../dev/fleet/chooseFreePorts';
import { toId } from '../packages/common/toId';
import type { WorkerId } from '../packages/common/WorkerId';
import { systemClock } from '../packages/common/systemClock';
import type { DispatchResult } from '../packages/gateway/DispatchResult';
import { EndpointClient } from '../packages/gateway/EndpointClient';
import { EndpointStandin } from '../packages/standins/EndpointStandin';

const NEED = { cpus: 1, memoryMb: 1, accelerators: 0, slots: 1 };
const OLD_TOKEN = 7000;
const NEW_TOKEN = 8000;

describe('an endpoint with a new owner', () => {
  let endpoint: EndpointStandin;
  let client: EndpointClient;

  beforeEach(async () => {
    const [port] = await chooseFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const capacity = { cpus: 16, memoryMb: 32_768, accelerators: 0, slots: 8 };
    endpoint = new EndpointStandin({
      worker: toId<WorkerId>('worker-1'),
      hall: 'hall-a',
      rack: 'rack-1',
      address,
      capacity,
      connections: 64,
      state: 'live',
    });
    await endpoint.start();
    client = new EndpointClient({
      address,
      maxConnections: 8,
      maxResponseBytes: 1_000_000,
      connectTimeoutMs: 500,
      clock: systemClock,
    });
  });

  afterEach(() => {
    client.stop();
    endpoint.stop();
  });

  const sendTask = (
    task: string,
    token: number,
    runMs: number,
    handleWritten: () => void = () => undefined,
  ): Promise<DispatchResult> =>
    client.sendTask({
      task,
      row: 'plan-refresh',
      callerRequest: task,
      demand: NEED,
      timeLimitMs: 3000,
      getDeadline: () => systemClock.getNow() + 3000,
      body: Buffer.from('body'),
      headers: { 'x-run-ms': String(runMs) },
      hasRight: () => true,
      token,
      handleWritten,
    });

  it('rejects tasks of the earlier owner, and lists the running tasks to the new owner', async () => {
    const running = sendTask('old/1', OLD_TOKEN, 300);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const fence = await client.sendFence(NEW_TOKEN);
    expect(fence).toMatchObject({ kind: 'fenced', tasks: [{ task: 'old/1', need: NEED }] });
    expect(await sendTask('old/2', OLD_TOKEN, 10)).toMatchObject({ kind: 'notSent', why: 'fenced' });
    expect(endpoint.createReport().tasks.map(({ task }) => task)).toEqual(['old/1']);
    expect(await sendTask('new/1', NEW_TOKEN, 10)).toMatchObject({ kind: 'answered' });
    expect(await running).toMatchObject({ kind: 'answered' });
  });

  it('rejects the fence of an earlier owner', async () => {
    expect((await client.sendFence(NEW_TOKEN)).kind).toBe('fenced');
    expect((await client.sendFence(NEW_TOKEN)).kind).toBe('fenced');
    expect((await client.sendFence(OLD_TOKEN)).kind).toBe('refused');
  });

  it('reports an unreachable endpoint as unanswered', async () => {
    endpoint.stop();
    expect((await client.sendFence(NEW_TOKEN)).kind).toBe('unanswered');
  });

  it('reports when the request was written, also on a reused connection', async () => {
    for (const number of [1, 2, 3]) {
      let writtenAt = Infinity;
      const checkedAt = performance.now();
      const result = await sendTask(`new/${number}`, NEW_TOKEN, 30, () => (writtenAt = performance.now()));
      expect(result.kind).toBe('answered');
      expect(writtenAt).toBeGreaterThanOrEqual(checkedAt);
      expect(writtenAt).toBeLessThan(performance.now());
    }
  });
});
