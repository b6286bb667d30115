import type { FastifyInstance } from 'fastify';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitForDelay } from '../packages/common/waitForDelay';
import { parseLimits } from '../packages/cli/parseLimits';
import { computeListenerLimits } from '../packages/gateway/computeListenerLimits';
import { createRawBodyApp } from '../packages/gateway/createRawBodyApp';
import { HeldBodies } from '../packages/gateway/HeldBodies';
import type { ListenerLimits } from '../packages/gateway/ListenerLimits';
import { RawConnection } from './helpers/RawConnection';

const RESOURCES = { memoryMb: 350, maxDescriptors: 4100 };
const BODY_LIMIT = 100_000;
const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\n';
const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const SETTLE_MS = 150;

describe('a listener', () => {
  let app: FastifyInstance;
  let refusals: string[];
  let lines: object[];
  let connections: RawConnection[];
  let handledBytes: number[];
  /** Resolves the responses of GET requests. */
  let answer: () => void;

  const startListener = async (limits: Partial<ListenerLimits>): Promise<void> => {
    const answered = new Promise<void>((resolve) => {
      answer = resolve;
    });
    const recordLine = (_message: string, fields?: object): void => void lines.push(fields ?? {});
    app = createRawBodyApp(BODY_LIMIT, {
      limits: { ...computeListenerLimits(RESOURCES, 'callers'), ...limits },
      logger: { info: recordLine, warn: recordLine, error: recordLine },
      recordRefusal: (cause) => void refusals.push(cause),
    });
    app.get('/', async () => {
      await answered;
      return {};
    });
    app.get('/large', () => 'a'.repeat(8_000_000));
    app.post('/', (request) => {
      handledBytes.push((request.body as Buffer).length);
      return {};
    });
    await app.listen({ host: '127.0.0.1', port: 0 });
  };

  const createConnection = async (text: string): Promise<RawConnection> => {
    const connection = await RawConnection.create(`127.0.0.1:${(app.server.address() as AddressInfo).port}`);
    connections.push(connection);
    connection.sendText(text);
    await waitForDelay(SETTLE_MS);
    return connection;
  };

  const createChunks = (count: number, bytes: number): string =>
    `${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`.repeat(count);

  beforeEach(() => {
    refusals = [];
    lines = [];
    connections = [];
    handledBytes = [];
  });

  afterEach(async () => {
    answer();
    connections.forEach((connection) => connection.stop());
    await app.close();
  });

  it('takes a body of its largest size, announced or in chunks', async () => {
    await startListener({ maxHeldBytes: BODY_LIMIT });
    const announced = await createConnection(
      `${HEAD}Content-Length: ${BODY_LIMIT}\r\n\r\n${'a'.repeat(BODY_LIMIT)}`,
    );
    expect(announced.findResponse()?.status).toBe(200);
    const chunked = await createConnection(
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n${createChunks(1000, 100)}0\r\n\r\n`,
    );
    expect(chunked.findResponse()?.status).toBe(200);
    expect(handledBytes).toEqual([BODY_LIMIT, BODY_LIMIT]);
    expect(refusals).toEqual([]);
  });

  it.each([
    ['announced', `Content-Length: ${BODY_LIMIT + 1}\r\n\r\n`],
    ['sent', `Transfer-Encoding: chunked\r\n\r\n${createChunks(101, 1000)}`],
  ])(
    'refuses a body that is %s over its size, and closes the connection when the rest does not come',
    async (_name, rest) => {
      await startListener({});
      const connection = await createConnection(HEAD + rest);
      expect(connection.findResponse()?.status).toBe(413);
      expect(refusals).toEqual(['bodyBytes']);
      await waitForDelay(1500);
      expect(connection.closedAt).toBeDefined();
    },
  );

  it('refuses a body in very small chunks', async () => {
    await startListener({ maxSmallChunks: 50 });
    const connection = await createConnection(
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n${createChunks(60, 1)}`,
    );
    expect(connection.findResponse()?.status).toBe(400);
    expect(refusals).toEqual(['smallChunks']);
  });

  it('refuses the body that has been read for longest when it holds too many bytes', async () => {
    await startListener({ maxHeldBytes: 90_000 });
    const endless = await createConnection(`${HEAD}Content-Length: 60000\r\n\r\n${'a'.repeat(50_000)}`);
    const ordinary = await createConnection(`${HEAD}Content-Length: 60000\r\n\r\n${'a'.repeat(60_000)}`);
    expect(endless.findResponse()).toMatchObject({ status: 503 });
    expect(endless.findResponse()?.headers).toContain('retry-after: 1');
    expect(ordinary.findResponse()?.status).toBe(200);
    expect(refusals).toEqual(['heldBytes']);
  });

  it('gives the bytes of a body back when its request is answered, or its connection closed', async () => {
    await startListener({ maxHeldBytes: 70_000 });
    for (let round = 0; round < 3; round += 1) {
      const closed = await createConnection(`${HEAD}Content-Length: 60000\r\n\r\n${'a'.repeat(50_000)}`);
      closed.stop();
      await waitForDelay(SETTLE_MS);
      const sent = await createConnection(`${HEAD}Content-Length: 60000\r\n\r\n${'a'.repeat(60_000)}`);
      expect(sent.findResponse()?.status).toBe(200);
    }
    expect(refusals).toEqual([]);
  });

  it('closes a connection with too many requests ahead of their answers, and answers fewer in order', async () => {
    await startListener({ maxRequestsPerConnection: 5 });
    const few = await createConnection(GET.repeat(5));
    const many = await createConnection(GET.repeat(500));
    answer();
    await waitForDelay(SETTLE_MS);
    expect(few.countResponses()).toBe(5);
    expect(many.closedAt).toBeDefined();
    expect(refusals).toEqual(['requestsAhead']);
  });

  it('refuses requests beyond those in progress over all connections, and takes others once these are answered', async () => {
    await startListener({ maxRequests: 3 });
    await createConnection(GET.repeat(3));
    const refused = await createConnection(GET.repeat(20));
    expect(refused.findResponse()).toMatchObject({ status: 503 });
    expect(refused.findResponse()?.headers).toContain('retry-after: 1');
    expect(refusals).toEqual(['requests']);
    answer();
    await waitForDelay(SETTLE_MS);
    expect((await createConnection(GET)).findResponse()?.status).toBe(200);
  });

  it('forgets the requests of a connection that is closed before they are answered', async () => {
    await startListener({ maxRequests: 3 });
    for (let round = 0; round < 3; round += 1) {
      const left = await createConnection(GET.repeat(3));
      left.stop();
      await waitForDelay(SETTLE_MS);
    }
    expect(refusals).toEqual([]);
  });

  it('closes the connection that has waited longest when there are too many, and none with a request in progress', async () => {
    await startListener({ maxConnections: 3 });
    const busy = await createConnection(GET);
    const first = await createConnection('');
    const second = await createConnection(`${HEAD}Content-Length: 10\r\n\r\na`);
    await createConnection(GET);
    expect([busy, first, second].map(({ closedAt }) => closedAt === undefined)).toEqual([true, false, true]);
    await createConnection(GET);
    expect([busy, second].map(({ closedAt }) => closedAt === undefined)).toEqual([true, false]);
    expect(refusals).toEqual(['connections', 'connections']);
  });

  it('answers a request without a host with status 400, once', async () => {
    await startListener({});
    const connection = await createConnection('GET / HTTP/1.1\r\n\r\n'.repeat(1000));
    expect(connection.findResponse()?.status).toBe(400);
    expect(connection.countResponses()).toBe(1);
    expect(refusals).toEqual(['missingHost']);
  });

  it('closes a connection whose client takes nothing of its response, and logs it', async () => {
    await startListener({ responseTimeoutMs: 1500 });
    const connection = await createConnection('GET /large HTTP/1.1\r\nHost: a\r\n\r\n');
    expect(refusals).toEqual([]);
    const unread = await createConnection('');
    unread.stopReading();
    unread.sendText('GET /large HTTP/1.1\r\nHost: a\r\n\r\n');
    await waitForDelay(5000);
    expect(refusals).toEqual(['unreadResponse']);
    expect(connection.closedAt).toBeUndefined();
    expect(lines).toContainEqual(expect.objectContaining({ unreadResponse: 1 }));
  });

  it('closes a connection whose request does not arrive in time', async () => {
    await startListener({ requestTimeoutMs: 1000 });
    const head = await createConnection(HEAD);
    const body = await createConnection(`${HEAD}Content-Length: 10\r\n\r\na`);
    await waitForDelay(3500);
    expect(head.closedAt).toBeDefined();
    expect(body.closedAt).toBeDefined();
  });
});

describe('held bodies', () => {
  it('refuse the oldest body itself, and cancel none that has been read', () => {
    const bodies = new HeldBodies(100);
    const cancelled: string[] = [];
    const read = bodies.addBody(() => cancelled.push('read'));
    expect(bodies.reserveBytes(read, 60)).toBe(true);
    bodies.recordComplete(read);
    const oldest = bodies.addBody(() => cancelled.push('oldest'));
    expect(bodies.reserveBytes(oldest, 60)).toBe(false);
    bodies.releaseBody(read);
    bodies.releaseBody(read);
    expect(bodies.reserveBytes(oldest, 100)).toBe(true);
    expect(cancelled).toEqual([]);
  });
});

describe('options for the limits of the listener for callers', () => {
  it('replace the defaults, which follow the resources of the box', () => {
    expect(parseLimits({}, RESOURCES)).toEqual({
      ok: true,
      value: computeListenerLimits(RESOURCES, 'callers'),
    });
    const parsed = parseLimits({ 'max-connections': '100' }, RESOURCES);
    expect(parsed).toMatchObject({ ok: true, value: { maxConnections: 100, maxRequests: 1400 } });
  });

  it.each([
    ['max-connections', '0'],
    ['max-connections', '5000'],
    ['max-requests', 'many'],
    ['max-requests-ahead', '1.5'],
    ['max-held-bytes', '1000'],
    ['max-small-chunks', '-1'],
    ['request-timeout-ms', '10'],
    ['response-timeout-ms', ''],
  ])('are refused with the name of the option: --%s %s', (name, text) => {
    const parsed = parseLimits({ [name]: text }, RESOURCES);
    expect(parsed.ok ? [] : parsed.error).toEqual([expect.stringContaining(`--${name}: expected`)]);
  });
});
