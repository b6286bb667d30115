import Fastify, { type FastifyInstance } from 'fastify';
import { serverSockets } from './serverSockets';

/** Creates an HTTP server that passes request bodies to its handlers as buffers, whatever their content type, up to `bodyLimit` bytes. */
export const createRawBodyApp = (bodyLimit: number): FastifyInstance => {
  const app = Fastify({ bodyLimit, keepAliveTimeout: 30_000, requestTimeout: 0 });
  serverSockets.startTracking(app.server);
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
  return app;
};
