import type { FastifyInstance } from 'fastify';
import { waitWithTimeout } from '../common/waitWithTimeout';
import { serverSockets } from './serverSockets';

/** Time between two searches for connections on which no request is in progress. */
const IDLE_SEARCH_INTERVAL_MS = 100;
/** One turn of the event loop accepts the connections that wait, the next one reads what they have sent. */
const INPUT_TURNS = 2;

/** Resolves once requests that had arrived have been read, however late this process runs. */
const waitForInput = async (): Promise<void> => {
  for (let turn = 0; turn < INPUT_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
};

/**
 * Stops a server: accepts no more connections, closes those without a request, and waits for the others. After `timeoutMs` destroys the
 * remaining ones, and resolves to their number.
 */
export const stopAppWithin = async (app: FastifyInstance, timeoutMs: number): Promise<number> => {
  await waitForInput();
  const closed = app.close().then(() => true);
  const search = setInterval(
    // Right after input has been read: a request that has just arrived is not cut.
    () => setImmediate(() => serverSockets.stopIdle(app.server)),
    IDLE_SEARCH_INTERVAL_MS,
  );
  const isClosed = await waitWithTimeout(closed, timeoutMs, false).finally(() => clearInterval(search));
  return isClosed ? 0 : serverSockets.stopAll(app.server);
};
