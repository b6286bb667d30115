import type { Server } from 'node:net';
import { parseHostPort } from '../common/parseHostPort';

/** Starts a server on `HOST:PORT`. Resolves once it listens, and rejects when it can't. */
export const startListening = (server: Server, address: string): Promise<void> => {
  const { host, port } = parseHostPort(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
};
