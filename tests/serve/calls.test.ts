import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { chooseFreePorts } from '../../dev/fleet/chooseFreePorts';
import { HttpClient } from '../../packages/common/HttpClient';

describe('calls to one address', () => {
  let server: Server;
  let address = '';
  let connectionCount = 0;
  let answerMs = 0;
  /** Connections that stay open and answer nothing any more. */
  let silent: Set<Socket>;
  let open: Set<Socket>;

  beforeEach(async () => {
    const [port] = await chooseFreePorts(1);
    address = `127.0.0.1:${port!}`;
    connectionCount = 0;
    silent = new Set();
    open = new Set();
    server = createServer((request, response) => {
      if (!silent.has(request.socket)) {
        setTimeout(() => response.end('answer'), answerMs);
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

  it('wait their turn beyond the number of connections, and their limit counts from the sending', async () => {
    answerMs = 100;
    const caller = new HttpClient({ address, connections: 1 });
    const call = { method: 'GET', path: '/', timeoutMs: 250 } as const;
    const results = await Promise.all(Array.from({ length: 6 }, () => caller.sendRequest(call)));
    expect(results.map(({ kind }) => kind)).toEqual(Array.from({ length: 6 }, () => 'answered'));
    expect(connectionCount).toBe(1);
    await caller.stop();
  });

  it('are not given up for a pause of this very process', async () => {
    answerMs = 10;
    const caller = new HttpClient({ address, connections: 1 });
    const call = { method: 'GET', path: '/', timeoutMs: 100 } as const;
    await caller.sendRequest(call);
    const result = caller.sendRequest(call);
    await new Promise((resolve) => setImmediate(resolve));
    const until = performance.now() + 300;
    while (performance.now() < until) {
      // Nothing else gets a turn meanwhile.
    }
    expect((await result).kind).toBe('answered');
    expect(connectionCount).toBe(1);
    await caller.stop();
  });

  it('lose one time limit when all kept connections have gone silent, not one for each', async () => {
    answerMs = 20;
    const caller = new HttpClient({ address, connections: 4 });
    const call = { method: 'GET', path: '/', timeoutMs: 200 } as const;
    await Promise.all(Array.from({ length: 4 }, () => caller.sendRequest(call)));
    expect(connectionCount).toBe(4);
    silent = new Set(open);
    const startedAt = performance.now();
    expect((await caller.sendRequest(call)).kind).toBe('unanswered');
    const later = [
      await caller.sendRequest(call),
      await caller.sendRequest(call),
      await caller.sendRequest(call),
    ];
    expect(later.map(({ kind }) => kind)).toEqual(['answered', 'answered', 'answered']);
    expect(performance.now() - startedAt).toBeLessThan(500);
    await caller.stop();
  });

  it('end without an answer when the caller stops, and nothing is left behind', async () => {
    answerMs = 1000;
    const rejected: unknown[] = [];
    const handleRejection = (reason: unknown): void => void rejected.push(reason);
    process.on('unhandledRejection', handleRejection);
    const caller = new HttpClient({ address, connections: 1 });
    const call = caller.sendRequest({ method: 'GET', path: '/', timeoutMs: 500 });
    await new Promise((resolve) => setTimeout(resolve, 50));
    await caller.stop();
    expect((await call).kind).toBe('unanswered');
    caller.renewConnections();
    await new Promise((resolve) => setTimeout(resolve, 50));
    process.off('unhandledRejection', handleRejection);
    expect(rejected).toEqual([]);
  });

  it('end without an answer after their limit, and say when nobody listens', async () => {
    answerMs = 1000;
    const caller = new HttpClient({ address, connections: 1 });
    const call = { method: 'GET', path: '/', timeoutMs: 100 } as const;
    expect((await caller.sendRequest(call)).kind).toBe('unanswered');
    const [free] = await chooseFreePorts(1);
    const nobody = new HttpClient({ address: `127.0.0.1:${free!}`, connections: 1 });
    expect((await nobody.sendRequest(call)).kind).toBe('refused');
    await caller.stop();
    await nobody.stop();
  });
});
