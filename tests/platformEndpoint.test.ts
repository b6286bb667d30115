import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { EndpointId } from '../packages/jobs/EndpointId';
import { endpointIncarnations } from '../packages/jobs/endpointIncarnations';
import type { TaskName } from '../packages/jobs/TaskName';
import { HttpJsonClient } from '../packages/common/HttpJsonClient';
import { HttpEndpointClient } from '../platform/HttpEndpointClient';

const ID = toId<EndpointId>('i-0');
const STARTED_AT_MS = 1_775_000_000_000;
const TASK = toId<TaskName>('0000000000000001.0.0.0');
const ORDER = { task: TASK, run: 1, spec: '', checkpoint: '', ticket: '' };
const POLL = { acknowledgedUpTo: 3, leaseMs: 4000, waitMs: 0, timeoutMs: 1000 };

/** Response of the endpoint to one call. */
interface ScriptedResponse {
  readonly status?: number;
  readonly body: unknown;
}

describe('the client of one incarnation of an endpoint', () => {
  let server: Server;
  let responses: ScriptedResponse[];
  let calls: Record<string, unknown>[];
  let endpoint: HttpEndpointClient;
  let token: number;
  let now: number;

  const startClient = (startedAtMs: number | undefined): void => {
    const { port } = server.address() as AddressInfo;
    endpoint = new HttpEndpointClient({
      address: `127.0.0.1:${port}`,
      id: ID,
      incarnation: endpointIncarnations.toIncarnation(ID, startedAtMs),
      getToken: () => token,
      getNow: () => now,
      initialClockMs: undefined,
      createJsonClient: (options) => new HttpJsonClient(options),
    });
  };

  beforeEach(async () => {
    responses = [];
    calls = [];
    token = 7;
    now = 1000;
    server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        calls.push(JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>);
        const { status = 200, body } = responses.shift()!;
        response.writeHead(status).end(typeof body === 'string' ? body : JSON.stringify(body));
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    startClient(STARTED_AT_MS);
  });

  afterEach(async () => {
    await endpoint.stop();
    await new Promise((resolve) => server.close(resolve));
  });

  const sendPoll = async (body: unknown, status = 200): ReturnType<HttpEndpointClient['sendPoll']> => {
    responses.push({ status, body });
    return endpoint.sendPoll(POLL);
  };

  const createStatus = (born: unknown): object => ({
    ...(born === undefined ? {} : { born }),
    'clock-ms': 500,
    running: [[TASK, 1, '', 40, 0]],
    'end-time': [[1, TASK, 2, 'done', '']],
  });

  it('returns the status of its own incarnation', async () => {
    expect(await sendPoll(createStatus(STARTED_AT_MS))).toMatchObject({
      kind: 'held',
      running: [{ run: 1 }],
      ended: [{ run: 2 }],
    });
  });

  it('ignores the status of an earlier or later incarnation, but returns its name', async () => {
    for (const born of [STARTED_AT_MS + 5, STARTED_AT_MS - 5]) {
      expect(await sendPoll(createStatus(born))).toEqual({ kind: 'otherLife', incarnation: `i-0@${born}` });
    }
  });

  it.each([
    ['no start', undefined],
    ['a text', String(STARTED_AT_MS)],
    ['a broken number', 1.5],
    ['nothing', null],
  ])('rejects a status with %s in the place of its start', async (_name, born) => {
    expect((await sendPoll(createStatus(born))).kind).toBe('unanswered');
  });

  it('rejects a response that is no status', async () => {
    expect((await sendPoll('{')).kind).toBe('unanswered');
  });

  it('returns a status without a start where the record had none', async () => {
    startClient(undefined);
    expect((await sendPoll(createStatus(undefined))).kind).toBe('held');
    expect(await sendPoll(createStatus(STARTED_AT_MS))).toEqual({
      kind: 'otherLife',
      incarnation: `i-0@${STARTED_AT_MS}`,
    });
  });

  it('grants leases by the clock of its own incarnation alone, and reads the token with each call', async () => {
    await sendPoll(createStatus(STARTED_AT_MS));
    expect(calls[0]).toMatchObject({ 'fencing-token': 7, 'last-seen': 3 });
    expect(calls[0]).not.toHaveProperty('expires-ms');
    await sendPoll({ ...createStatus(STARTED_AT_MS + 5), 'clock-ms': 900_000 });
    responses.push({ body: createStatus(STARTED_AT_MS) }, { body: { 'clock-ms': 900_000 } });
    token = 8;
    await endpoint.sendStart(ORDER, 4000, 1000);
    await sendPoll(createStatus(STARTED_AT_MS));
    expect(calls[1]).toMatchObject({ 'expires-ms': 4500 });
    // Confirms the connection for commands.
    expect(calls[2]).toEqual({ 'fencing-token': 8, 'last-seen': 0 });
    expect(calls[3]).toMatchObject({ 'expires-ms': 4500, 'fencing-token': 8 });
    expect(calls[4]).toMatchObject({ 'expires-ms': 4500, 'fencing-token': 8 });
  });
});
