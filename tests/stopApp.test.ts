import { connect, type AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { createRawBodyApp } from '../packages/gateway/createRawBodyApp';
import { stopApp } from '../packages/gateway/stopApp';

describe('stopApp', () => {
  it('does not wait for a connection without a request', async () => {
    const app = createRawBodyApp(1000);
    await app.listen({ host: '127.0.0.1', port: 0 });
    const { port } = app.server.address() as AddressInfo;
    const socket = connect({ host: '127.0.0.1', port });
    await new Promise((resolve) => socket.once('connect', resolve));
    await new Promise((resolve) => setTimeout(resolve, 50));
    const startedAt = performance.now();
    await stopApp(app);
    expect(performance.now() - startedAt).toBeLessThan(3000);
    socket.destroy();
  });
});

describe('stopApp with upgraded connections', () => {
  it('does not wait for an open upgraded connection', async () => {
    const app = createRawBodyApp(1000);
    app.server.on('upgrade', (_request, socket) => {
      socket.write('HTTP/1.1 101 Switching Protocols\r\nUpgrade: raw\r\nConnection: Upgrade\r\n\r\n');
    });
    await app.listen({ host: '127.0.0.1', port: 0 });
    const { port } = app.server.address() as AddressInfo;
    const socket = connect({ host: '127.0.0.1', port });
    socket.on('error', () => undefined);
    await new Promise((resolve) => socket.once('connect', resolve));
    socket.write('GET / HTTP/1.1\r\nHost: box\r\nUpgrade: raw\r\nConnection: Upgrade\r\n\r\n');
    await new Promise((resolve) => socket.once('data', resolve));
    const startedAt = performance.now();
    await stopApp(app);
    expect(performance.now() - startedAt).toBeLessThan(3000);
    socket.destroy();
  });
});
