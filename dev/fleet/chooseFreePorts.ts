import { createServer, type AddressInfo, type Server } from 'node:net';

/** Chooses ports that nobody listens on: holds them all at once, then lets go. */
export const chooseFreePorts = async (count: number): Promise<number[]> => {
  const servers: Server[] = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};
