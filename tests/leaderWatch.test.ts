import { createServer, type Server } from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { LeaderWatch } from '../packages/leadership/LeaderWatch';

const WATCHED_MS = 1000;
/** The first, and one per reconnect delay. */
const MAX_CONNECTIONS = 5;

describe('the watch of the leader', () => {
  let server: Server;
  let watch: LeaderWatch;

  afterEach(() => {
    watch.setLeader(undefined);
    server.close();
  });

  const startServer = async (handleConnection: (count: number) => void): Promise<string> => {
    let count = 0;
    server = createServer((socket) => {
      count += 1;
      handleConnection(count);
      socket.destroy();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  };

  it('does not reconnect in a tight loop when connections are closed right after they open', async () => {
    let connections = 0;
    const address = await startServer((count) => {
      connections = count;
    });
    watch = new LeaderWatch({ handleProcessEnded: () => undefined });
    watch.setLeader({ process: 'box-0#1', address });
    await new Promise((resolve) => setTimeout(resolve, WATCHED_MS));
    expect(connections).toBeGreaterThan(1);
    expect(connections).toBeLessThanOrEqual(MAX_CONNECTIONS);
  });
});
