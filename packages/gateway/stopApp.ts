import type { FastifyInstance } from 'fastify';
import { openSockets } from './openSockets';

/** Answers that were complete when the server was told to stop have left by then. */
const SILENT_LIMIT_MS = 1000;

/**
 * Stops a server whose work is done. Connections that are left after a second are ended: one on which nothing has been asked yet would be
 * waited for until the time limit for headers, and one that was upgraded meanwhile for ever.
 */
export const stopApp = async (app: FastifyInstance): Promise<void> => {
  const timer = setTimeout(() => openSockets.stopAll(app.server), SILENT_LIMIT_MS);
  await app.close();
  clearTimeout(timer);
};
