import type { FastifyInstance } from 'fastify';
import { serverSockets } from './serverSockets';

/** Time for connections to close after the last responses have been sent. */
const CLOSE_GRACE_MS = 1000;

/**
 * Stops a server that has no more requests to handle. Destroys connections that remain open after a grace period: closing would
 * otherwise wait for the header timeout of a connection without a request, and forever for an upgraded connection.
 */
export const stopApp = async (app: FastifyInstance): Promise<void> => {
  const timer = setTimeout(() => serverSockets.stopAll(app.server), CLOSE_GRACE_MS);
  await app.close();
  clearTimeout(timer);
};
