import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { EndpointId } from '../packages/jobs/EndpointId';
import { endpointIncarnations } from '../packages/jobs/endpointIncarnations';
import type { TaskName } from '../packages/jobs/TaskName';
import { PlatformEndpoint } from '../platform/PlatformEndpoint';

const ID = toId<EndpointId>('i-0');
const BORN_AT_MS = 1_775_000_000_000;
const TASK = toId<TaskName>('0000000000000001.0.0.0');
const ORDER = { task: TASK, run: 1, spec: '', checkpoint: '', ticket: '' };
const LOOK = { lastSeen: 3, leaseMs: 4000, waitMs: 0, timeoutMs: 1000 };

/** What the endpoint answers next. */
interface Scripted {
  readonly status?: number;
  readonly body: unknown;
}

describe('the client of one life of an endpoint', () => {
  let server: Server;
  let answers: Scripted[];
  let calls: Record<string, unknown>[];
  let endpoint: PlatformEndpoint;
  let token: number;
  let now: number;

  const startClient = (bornAtMs: number | undefined): void => {
    const { port } = server.address() as AddressInfo;
    endpoint = new PlatformEndpoint({
      address: `127.0.0.1:${port}`,
      id: ID,
      life: endpointIncarnations.toLife(ID, bornAtMs),
      readToken: () => token,
      readNow: () => now,
      clockMs: undefined,
    });
  };

  beforeEach(async () => {
    answers = [];
    calls = [];
    token = 7;
    now = 1000;
    server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        calls.push(JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>);
        const { status = 200, body } = answers.shift()!;
        response.writeHead(status).end(typeof body === 'string' ? body : JSON.stringify(body));
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    startClient(BORN_AT_MS);
  });

  afterEach(async () => {
    await endpoint.stop();
    await new Promise((resolve) => server.close(resolve));
  });

  const sendLook = async (body: unknown, status = 200): ReturnType<PlatformEndpoint['sendPoll']> => {
    answers.push({ status, body });
    return endpoint.sendPoll(LOOK);
  };

  const createList = (born: unknown): object => ({
    ...(born === undefined ? {} : { born }),
    'clock-ms': 500,
    running: [[TASK, 1, '', 40, 0]],
    'end-time': [[1, TASK, 2, 'done', '']],
  });

  it('takes the lists of its own life', async () => {
    expect(await sendLook(createList(BORN_AT_MS))).toMatchObject({
      kind: 'held',
      running: [{ run: 1 }],
      ended: [{ run: 2 }],
    });
  });

  it('takes nothing from another life, whether it began later or earlier, but says which it is', async () => {
    for (const born of [BORN_AT_MS + 5, BORN_AT_MS - 5]) {
      expect(await sendLook(createList(born))).toEqual({ kind: 'otherLife', life: `i-0@${born}` });
    }
  });

  it.each([
    ['no start', undefined],
    ['a text', String(BORN_AT_MS)],
    ['a broken number', 1.5],
    ['nothing', null],
  ])('takes nothing from a list with %s in the place of its start', async (_name, born) => {
    expect((await sendLook(createList(born))).kind).toBe('unanswered');
  });

  it('takes nothing from an answer that is no list', async () => {
    expect((await sendLook('{')).kind).toBe('unanswered');
  });

  it('takes lists without a start where the record had none', async () => {
    startClient(undefined);
    expect((await sendLook(createList(undefined))).kind).toBe('held');
    expect(await sendLook(createList(BORN_AT_MS))).toEqual({ kind: 'otherLife', life: `i-0@${BORN_AT_MS}` });
  });

  it('gives leases by the clock of its own life alone, and reads the token with each call', async () => {
    await sendLook(createList(BORN_AT_MS));
    expect(calls[0]).toMatchObject({ 'fencing-token': 7, 'last-seen': 3 });
    expect(calls[0]).not.toHaveProperty('expires-ms');
    await sendLook({ ...createList(BORN_AT_MS + 5), 'clock-ms': 900_000 });
    answers.push({ body: { 'clock-ms': 900_000 } });
    token = 8;
    await endpoint.sendStart(ORDER, 4000, 1000);
    await sendLook(createList(BORN_AT_MS));
    expect(calls[1]).toMatchObject({ 'expires-ms': 4500 });
    expect(calls[2]).toMatchObject({ 'expires-ms': 4500, 'fencing-token': 8 });
    expect(calls[3]).toMatchObject({ 'expires-ms': 4500, 'fencing-token': 8 });
  });
});
