import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { EndpointId } from '../packages/jobs/EndpointId';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { HttpAdviceClient } from '../platform/HttpAdviceClient';
import { HttpJsonClient } from '../packages/common/HttpJsonClient';
import { HttpEndpointClient } from '../platform/HttpEndpointClient';
import { HttpLogClient } from '../platform/HttpLogClient';

const TIMEOUT_MS = 1000;
const ENDPOINT = toId<EndpointId>('i-0');

/** An unhandled rejection ends the process; a status without runs lets tasks that still run start again elsewhere. */
describe('a malformed response', () => {
  let server: Server;
  let address = '';
  let responseBody: string | Buffer = '';

  beforeEach(async () => {
    server = createServer((_request, response) => response.end(responseBody));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });

  it('of the advice service counts as none', async () => {
    responseBody = JSON.stringify({ good: 7 });
    const client = new HttpAdviceClient(address);
    const advice = client.requestAdvice('0.0.0', [ENDPOINT], TIMEOUT_MS);
    await expect(advice.finally(() => client.stop())).resolves.toBeUndefined();
  });

  it.each([
    ['without rows', JSON.stringify({ 'clock-ms': 1, running: 7 })],
    ['that is no JSON', 'internal error'],
    ['with a running task without a run number', JSON.stringify({ 'clock-ms': 1, running: [['0.0.0.0']] })],
    ['with an end that is no list', JSON.stringify({ 'clock-ms': 1, running: [], 'end-time': ['done'] })],
  ])('of an endpoint, %s, counts as none', async (_name, body) => {
    responseBody = body;
    const client = new HttpEndpointClient({
      address,
      id: ENDPOINT,
      incarnation: toId<EndpointIncarnation>(ENDPOINT),
      getToken: () => 1,
      getNow: () => performance.now(),
      initialClockMs: undefined,
      createJsonClient: (options) => new HttpJsonClient(options),
    });
    const poll = client.sendPoll({
      acknowledgedUpTo: 0,
      leaseMs: undefined,
      waitMs: 0,
      timeoutMs: TIMEOUT_MS,
    });
    await expect(poll.finally(() => client.stop())).resolves.toMatchObject({ kind: 'unanswered' });
  });

  it('of the log to an append counts as one without a response, which may have been applied', async () => {
    responseBody = '{}';
    const client = new HttpLogClient({ address });
    const append = client.append({
      topic: 'keyed.op',
      writes: [{ key: 'k', value: 'v' }],
      timeoutMs: TIMEOUT_MS,
    });
    await expect(append.finally(() => client.stop())).resolves.toMatchObject({
      ok: false,
      error: { kind: 'unknown' },
    });
  });

  it.each([
    ['that is too short', Buffer.alloc(4)],
    [
      'with a record that is cut off',
      Buffer.concat([Buffer.alloc(16), Buffer.from([0, 0, 0, 9]), Buffer.from([1, 107, 118])]),
    ],
  ])('of the log to a read, %s, counts as a failed call', async (_name, body) => {
    responseBody = body;
    const client = new HttpLogClient({ address });
    const read = client.readRecords({ topic: 'keyed.op', fromOffset: 0, waitMs: 0, timeoutMs: TIMEOUT_MS });
    await expect(read.finally(() => client.stop())).resolves.toMatchObject({ ok: false });
  });

  it('of the log counts as a failed call', async () => {
    responseBody = JSON.stringify({ end: 1 });
    const client = new HttpLogClient({ address });
    const page = client.readPageOfNewestByKey({
      topic: 'keyed.op',
      afterKey: undefined,
      timeoutMs: TIMEOUT_MS,
    });
    await expect(page.finally(() => client.stop())).resolves.toMatchObject({ ok: false });
  });
});
