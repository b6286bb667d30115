import { connect, type AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { createBufferApp } from '../packages/gateway/createBufferApp';
import { stopApp } from '../packages/gateway/stopApp';

describe('a server that is stopped by plan', () => {
  it('does not wait for a connection on which nothing was asked', async () => {
    const app = createBufferApp(1000);
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
