import { createServer, type Server } from 'node:net';

const HOST = '127.0.0.1';
/**
 * Ports below those that the system gives to outgoing connections (from 32,768 on): one of these may be taken by any busy neighbour between
 * its choice and the start of the process that is to listen there, which failed test runs with `EADDRINUSE`.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_999;
/** Ports that a process reserves at a time, by listening on the first of them until it ends. */
const BLOCK_PORTS = 200;
const BLOCKS = (LAST_PORT + 1 - FIRST_PORT) / BLOCK_PORTS;

/** Ports of the blocks that this process has reserved, in the order in which they were given out. */
const reserved: number[] = [];
let nextBlock = process.pid % BLOCKS;

/** Listens on a port; undefined when somebody else does. */
const startHolding = (port: number): Promise<Server | undefined> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen({ port, host: HOST, exclusive: true }, () => resolve(server));
  });

const startReserving = async (): Promise<void> => {
  for (let tries = 0; tries < BLOCKS; tries += 1) {
    const first = FIRST_PORT + nextBlock * BLOCK_PORTS;
    nextBlock = (nextBlock + 1) % BLOCKS;
    const holder = await startHolding(first);
    if (holder !== undefined) {
      holder.unref();
      reserved.unshift(...Array.from({ length: BLOCK_PORTS - 1 }, (_, index) => first + 1 + index));
      return;
    }
  }
  throw new Error(`all ports from ${FIRST_PORT} to ${LAST_PORT} are reserved by other processes`);
};

/** Chooses ports that nobody listens on, and that no other process that chooses so is given. Those given least recently come first. */
export const chooseFreePorts = async (count: number): Promise<number[]> => {
  const chosen: number[] = [];
  let left = reserved.length;
  while (chosen.length < count) {
    if (left === 0) {
      await startReserving();
      left = BLOCK_PORTS - 1;
    }
    left -= 1;
    const port = reserved.shift()!;
    reserved.push(port);
    const holder = await startHolding(port);
    if (holder !== undefined) {
      await new Promise((resolve) => holder.close(resolve));
      chosen.push(port);
    }
  }
  return chosen;
};
