import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createConnection, createServer as createNetServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { waitForDelay } from '../packages/common/waitForDelay';
import { CallRelays } from '../packages/relay/CallRelays';
import { chooseRelayBoxes } from '../packages/relay/chooseRelayBoxes';
import { FrameBatcher } from '../packages/relay/FrameBatcher';
import type { RelayBox } from '../packages/relay/RelayBox';
import { RelayServer } from '../packages/relay/RelayServer';

const LOGGER = { info: () => undefined, warn: () => undefined, error: () => undefined };
const CLOCK = { getNow: () => performance.now(), getWallTime: () => Date.now() };
/** A leader with so little processing capacity that one endpoint needs a relay. */
const WEAK_BOX = { cores: 0.001, linkMbps: 10 };
const STRONG_BOX = { cores: 1, linkMbps: 100 };
const TIMEOUT_MS = 500;
/** Number of endpoints for which a leader wants two strong relays. */
const TWO_RELAYS = 150;
/** Delay of a slow relay's link in either direction. */
const PROXY_DELAY_MS = 120;
/** Time in which a relay without a response has to be given up. */
const MAX_SILENCE_MS = 1500;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const stops: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(stops.splice(0).map((stop) => stop()));
});

const startServer = async (
  handle?: Handler,
): Promise<{ server: Server; address: string; sockets: Set<Socket> }> => {
  const sockets = new Set<Socket>();
  const server = createServer(handle);
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  stops.push(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sockets };
};

const startRelay = async (): Promise<{ relay: RelayServer; address: string }> => {
  const { server, address } = await startServer();
  const relay = new RelayServer({ server, clock: CLOCK, logger: LOGGER });
  stops.push(() => relay.stop());
  return { relay, address };
};

/** Starts a proxy that passes everything on with a delay, as a link or a box without time to spare does. */
const startDelayedProxy = async (target: string): Promise<string> => {
  const [host, port] = target.split(':');
  const server = createNetServer((socket) => {
    const onward = createConnection({ host: host!, port: Number(port) });
    const pass = (from: Socket, to: Socket): unknown =>
      from
        .on('data', (chunk) => setTimeout(() => to.writable && to.write(chunk), PROXY_DELAY_MS))
        .on('error', () => to.destroy())
        .on('close', () => to.destroy());
    pass(socket, onward);
    pass(onward, socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  stops.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const createRelays = (listBoxes: () => readonly RelayBox[]): CallRelays => {
  const relays = new CallRelays({
    clock: CLOCK,
    logger: LOGGER,
    ownBox: WEAK_BOX,
    listBoxes,
    recordCount: () => undefined,
  });
  stops.push(() => relays.stop());
  return relays;
};

const startRelays = async (addresses: readonly string[], endpointCount = 1): Promise<CallRelays> => {
  const relays = createRelays(() => addresses.map((address) => ({ box: address, address, ...STRONG_BOX })));
  relays.updateRelays(endpointCount);
  await relays.waitForConnections(1000);
  return relays;
};

/** Runs the ticks of a leader until the test ends. */
const startTicks = (relays: CallRelays, endpointCount = 1): void => {
  const timer = setInterval(() => relays.handleTick(endpointCount), 100);
  stops.push(() => clearInterval(timer));
};

const createClient = (
  relays: CallRelays,
  address: string,
  connections = 1,
): ReturnType<CallRelays['createClient']> => {
  const client = relays.createClient({ address, connections, headers: { 'x-instance': 'i-1' } });
  stops.push(() => client.stop());
  return client;
};

const readBody = async (request: IncomingMessage): Promise<unknown> => {
  let text = '';
  for await (const chunk of request) {
    text += String(chunk);
  }
  return JSON.parse(text);
};

/** Responds with the body, the headers and the port of the connection. */
const handleEcho: Handler = (request, response) =>
  void readBody(request).then((body) =>
    response.end(
      JSON.stringify({ body, instance: request.headers['x-instance'], port: request.socket.remotePort }),
    ),
  );

describe('a call relay', () => {
  it('sends calls with their headers, and reuses the connection', async () => {
    const endpoint = await startServer(handleEcho);
    const relays = await startRelays([(await startRelay()).address]);
    const client = createClient(relays, endpoint.address);
    const first = await client.sendJsonRequest({ path: '/hold', body: { a: 'ä"' }, timeoutMs: TIMEOUT_MS });
    const { value } = first as { value: { port: number } };
    expect(first).toMatchObject({
      kind: 'answered',
      status: 200,
      value: { body: { a: 'ä"' }, instance: 'i-1' },
    });
    const request = { path: '/hold', body: { b: 1 }, timeoutMs: TIMEOUT_MS, mustReuseConnection: true };
    expect(await client.sendJsonRequest(request)).toMatchObject({
      kind: 'answered',
      value: { port: value.port },
    });
    expect(relays.chooseRelay(endpoint.address)?.countClients()).toBe(1);
  });

  it('reports a refused connection, a timeout and a status as a direct call does', async () => {
    const silent = await startServer(() => undefined);
    const failing = await startServer((_request, response) => void response.writeHead(503).end('busy'));
    const relays = await startRelays([(await startRelay()).address]);
    const send = (address: string): Promise<unknown> =>
      createClient(relays, address).sendJsonRequest({ path: '/', body: {}, timeoutMs: 200 });
    expect(await send('127.0.0.1:1')).toMatchObject({ kind: 'refused' });
    expect(await send(silent.address)).toMatchObject({ kind: 'unanswered' });
    expect(await send(failing.address)).toMatchObject({ kind: 'answered', status: 503, value: null });
  });

  it('that is lost interrupts its calls, and later calls reach the endpoint', async () => {
    const held: ServerResponse[] = [];
    const endpoint = await startServer((_request, response) => void held.push(response));
    const { relay, address } = await startRelay();
    const relays = await startRelays([address]);
    const client = createClient(relays, endpoint.address);
    const pending = client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: 5000 });
    await expect.poll(() => held.length).toBe(1);
    relay.stop();
    expect(await pending).toMatchObject({ kind: 'interrupted' });
    const next = client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: 5000 });
    await expect.poll(() => held.length).toBe(2);
    held[1]!.end('{}');
    expect(await next).toMatchObject({ kind: 'answered', status: 200 });
  });

  it('that is lost does not let a call go over another connection when it must reuse the last one', async () => {
    const endpoint = await startServer(handleEcho);
    const { relay, address } = await startRelay();
    const relays = await startRelays([address]);
    const client = createClient(relays, endpoint.address);
    const request = { path: '/hold', body: {}, timeoutMs: TIMEOUT_MS };
    expect(await client.sendJsonRequest(request)).toMatchObject({ kind: 'answered' });
    relay.stop();
    await expect.poll(() => relays.chooseRelay(endpoint.address)).toBeUndefined();
    const reused = await client.sendJsonRequest({ ...request, mustReuseConnection: true });
    expect(reused).toMatchObject({ kind: 'refused' });
    expect(await client.sendJsonRequest(request)).toMatchObject({ kind: 'answered' });
  });

  it('that falls silent is given up, though its connection stays open', async () => {
    const endpoint = await startServer(handleEcho);
    const silent = await startServer();
    const relay = new RelayServer({ server: silent.server, clock: CLOCK, logger: LOGGER });
    stops.push(() => relay.stop());
    const relays = await startRelays([silent.address]);
    silent.sockets.forEach((socket) => socket.pause());
    startTicks(relays);
    const client = createClient(relays, endpoint.address);
    const sentAt = performance.now();
    const result = await client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: 10_000 });
    expect(result).toMatchObject({ kind: 'interrupted' });
    expect(performance.now() - sentAt).toBeLessThan(MAX_SILENCE_MS);
    expect(await client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: 1000 })).toMatchObject({
      kind: 'answered',
    });
  });

  it('that is about to stop gets no new calls, and its active ones end as usual', async () => {
    const held: ServerResponse[] = [];
    const endpoint = await startServer((_request, response) => void held.push(response));
    const { relay, address } = await startRelay();
    const relays = await startRelays([address]);
    const client = createClient(relays, endpoint.address, 2);
    const pending = client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: 5000 });
    await expect.poll(() => held.length).toBe(1);
    relay.sendLeave();
    await expect.poll(() => relays.chooseRelay(endpoint.address)).toBeUndefined();
    const next = client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: 5000 });
    await expect.poll(() => held.length).toBe(2);
    held.forEach((response) => response.end('{}'));
    expect(await pending).toMatchObject({ kind: 'answered' });
    expect(await next).toMatchObject({ kind: 'answered' });
  });

  it('that cannot reach an endpoint does not keep the leader from reaching it', async () => {
    const endpoint = await startServer(handleEcho);
    const relays = await startRelays([(await startRelay()).address]);
    const client = createClient(relays, endpoint.address);
    const request = { path: '/hold', body: {}, timeoutMs: TIMEOUT_MS };
    expect(await client.sendJsonRequest(request)).toMatchObject({ kind: 'answered' });
    const relay = relays.chooseRelay(endpoint.address)!;
    relay.sendCall = () => Promise.resolve({ kind: 'unanswered', detail: 'cut off' });
    expect(await client.sendJsonRequest(request)).toMatchObject({ kind: 'unanswered' });
    expect(await client.sendJsonRequest(request)).toMatchObject({ kind: 'answered' });
  });

  it('is replaced by another box when it is lost', async () => {
    const endpoint = await startServer(handleEcho);
    const [first, second] = [await startRelay(), await startRelay()];
    const relays = await startRelays([first.address, second.address]);
    startTicks(relays);
    const used = relays.chooseRelay(endpoint.address);
    first.relay.stop();
    await waitForDelay(300);
    const next = relays.chooseRelay(endpoint.address);
    expect(next).toBeDefined();
    expect(next).not.toBe(used);
  });

  it('is not used by a leader that can poll all endpoints itself', async () => {
    const boxes = [{ box: 'a', address: '127.0.0.1:1', ...STRONG_BOX }];
    const choose = (endpointCount: number): readonly RelayBox[] =>
      chooseRelayBoxes({ ownBox: STRONG_BOX, endpointCount, boxes, isInUse: () => false });
    expect(choose(100)).toEqual([]);
    expect(choose(245)).toEqual(boxes);
  });

  it('that is slow gets no new calls, and its active ones end as usual', async () => {
    const held: ServerResponse[] = [];
    const endpoint = await startServer((_request, response) => void held.push(response));
    const [slow, other] = [await startRelay(), await startRelay()];
    const relays = await startRelays([await startDelayedProxy(slow.address), other.address], TWO_RELAYS);
    const client = createClient(relays, endpoint.address, 2);
    const pending = client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: 10_000 });
    await expect.poll(() => held.length).toBe(1);
    const used = relays.chooseRelay(endpoint.address);
    startTicks(relays, TWO_RELAYS);
    await expect.poll(() => relays.chooseRelay(endpoint.address), { timeout: 8000 }).not.toBe(used);
    const next = client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: 5000 });
    await expect.poll(() => held.length).toBe(2);
    held.forEach((response) => response.end('{}'));
    expect(await pending).toMatchObject({ kind: 'answered' });
    expect(await next).toMatchObject({ kind: 'answered' });
  });

  it('gives its place to a stronger box that has come back', async () => {
    const endpoint = await startServer(handleEcho);
    const [weak, strong] = [await startRelay(), await startRelay()];
    const boxes = [{ box: 'weak', address: weak.address, ...WEAK_BOX }];
    const relays = createRelays(() => boxes);
    relays.updateRelays(1);
    await relays.waitForConnections(1000);
    const used = relays.chooseRelay(endpoint.address);
    expect(used).toBeDefined();
    boxes.push({ box: 'strong', address: strong.address, ...STRONG_BOX });
    startTicks(relays);
    await expect.poll(() => used?.isOpen()).toBe(false);
    const client = createClient(relays, endpoint.address);
    expect(await client.sendJsonRequest({ path: '/hold', body: {}, timeoutMs: TIMEOUT_MS })).toMatchObject({
      kind: 'answered',
    });
    expect(relays.chooseRelay(endpoint.address)?.countClients()).toBe(1);
  });

  it('gets the calls of one turn of the event loop, and then those of an interval, in one frame', async () => {
    const frames: string[] = [];
    const batcher = new FrameBatcher<number>({ clock: CLOCK, sendFrame: (text) => frames.push(text) });
    const numbers = Array.from({ length: 200 }, (_none, index) => index);
    numbers.forEach((number) => batcher.queueMessage(number));
    await waitForDelay(1);
    numbers.forEach((number) => batcher.queueMessage(number));
    await waitForDelay(50);
    expect(frames.map((text) => JSON.parse(text) as unknown)).toEqual([numbers, numbers]);
  });
});
