import type { Server } from 'node:net';
import { parseHostPort } from '../common/parseHostPort';

/** Starts a server on `HOST:PORT` and resolves once it listens. */
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
