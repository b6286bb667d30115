import type { FastifyInstance } from 'fastify';

/** Answers that were complete when the server was told to stop have left by then. */
const SILENT_LIMIT_MS = 1000;

/**
 * Stops a server whose work is done. A connection on which nothing has been asked yet counts as busy until the time limit for headers: one
 * planned stop in 60 waited for it, 60 s, with callers that keep connections ready and 12 busy processes beside it. It is closed instead.
 */
export const stopApp = async (app: FastifyInstance): Promise<void> => {
  const timer = setTimeout(() => app.server.closeAllConnections(), SILENT_LIMIT_MS);
  await app.close();
  clearTimeout(timer);
};
