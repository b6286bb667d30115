import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { chooseFreePorts } from '../../dev/fleet/chooseFreePorts';
import { HttpClient } from '../../packages/common/HttpClient';

describe('HTTP requests to one address', () => {
  let server: Server;
  let address = '';
  let connectionCount = 0;
  let responseDelayMs = 0;
  /** Connections that stay open without further responses. */
  let unresponsive: Set<Socket>;
  let open: Set<Socket>;

  beforeEach(async () => {
    const [port] = await chooseFreePorts(1);
    address = `127.0.0.1:${port!}`;
    connectionCount = 0;
    unresponsive = new Set();
    open = new Set();
    server = createServer((request, response) => {
      if (!unresponsive.has(request.socket)) {
        setTimeout(() => response.end('answer'), responseDelayMs);
      }
    });
    server.on('connection', (socket: Socket) => {
      connectionCount += 1;
      open.add(socket);
    });
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  });

  afterEach(async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });

  it('wait for a free connection, with a timeout that counts from sending', async () => {
    responseDelayMs = 100;
    const client = new HttpClient({ address, connections: 1 });
    const request = { method: 'GET', path: '/', timeoutMs: 250 } as const;
    const results = await Promise.all(Array.from({ length: 6 }, () => client.sendRequest(request)));
    expect(results.map(({ kind }) => kind)).toEqual(Array.from({ length: 6 }, () => 'answered'));
    expect(connectionCount).toBe(1);
    await client.stop();
  });

  it('do not time out because this process was paused', async () => {
    responseDelayMs = 10;
    const client = new HttpClient({ address, connections: 1 });
    const request = { method: 'GET', path: '/', timeoutMs: 100 } as const;
    await client.sendRequest(request);
    const result = client.sendRequest(request);
    await new Promise((resolve) => setImmediate(resolve));
    const until = performance.now() + 300;
    while (performance.now() < until) {
      // Blocks the event loop.
    }
    expect((await result).kind).toBe('answered');
    expect(connectionCount).toBe(1);
    await client.stop();
  });

  it('do not time out because the event loop was busy, in however short turns', async () => {
    responseDelayMs = 150;
    const client = new HttpClient({ address, connections: 1 });
    const result = client.sendRequest({ method: 'GET', path: '/', timeoutMs: 100 });
    const until = performance.now() + 180;
    while (performance.now() < until) {
      const turnEndsAt = performance.now() + 8;
      while (performance.now() < turnEndsAt) {
        // Blocks the event loop.
      }
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect((await result).kind).toBe('answered');
    await client.stop();
  });

  it('time out only once when all kept connections have become unresponsive', async () => {
    responseDelayMs = 20;
    const client = new HttpClient({ address, connections: 4 });
    const request = { method: 'GET', path: '/', timeoutMs: 200 } as const;
    await Promise.all(Array.from({ length: 4 }, () => client.sendRequest(request)));
    expect(connectionCount).toBe(4);
    unresponsive = new Set(open);
    const startedAt = performance.now();
    expect((await client.sendRequest(request)).kind).toBe('unanswered');
    const later = [
      await client.sendRequest(request),
      await client.sendRequest(request),
      await client.sendRequest(request),
    ];
    expect(later.map(({ kind }) => kind)).toEqual(['answered', 'answered', 'answered']);
    expect(performance.now() - startedAt).toBeLessThan(500);
    await client.stop();
  });

  it('end without a response and without unhandled rejections when the client stops', async () => {
    responseDelayMs = 1000;
    const rejected: unknown[] = [];
    const handleRejection = (reason: unknown): void => void rejected.push(reason);
    process.on('unhandledRejection', handleRejection);
    const client = new HttpClient({ address, connections: 1 });
    const request = client.sendRequest({ method: 'GET', path: '/', timeoutMs: 500 });
    await new Promise((resolve) => setTimeout(resolve, 50));
    await client.stop();
    expect((await request).kind).toBe('unanswered');
    client.renewConnections();
    await new Promise((resolve) => setTimeout(resolve, 50));
    process.off('unhandledRejection', handleRejection);
    expect(rejected).toEqual([]);
  });

  it('end without a response after their timeout, and as refused when nothing listens', async () => {
    responseDelayMs = 1000;
    const client = new HttpClient({ address, connections: 1 });
    const request = { method: 'GET', path: '/', timeoutMs: 100 } as const;
    expect((await client.sendRequest(request)).kind).toBe('unanswered');
    const [free] = await chooseFreePorts(1);
    const unreachable = new HttpClient({ address: `127.0.0.1:${free!}`, connections: 1 });
    expect((await unreachable.sendRequest(request)).kind).toBe('refused');
    await client.stop();
    await unreachable.stop();
  });
});
