import Fastify, { type FastifyInstance } from 'fastify';
import { serverSockets } from './serverSockets';

interface RawBodyAppOptions {
  /** True if requests that arrive while the server closes reach the handlers; else they get status 503 before their body is read. */
  readonly isServingWhileClosing?: boolean;
}

/** Creates an HTTP server that passes request bodies to its handlers as buffers, whatever their content type, up to `bodyLimit` bytes. */
export const createRawBodyApp = (
  bodyLimit: number,
  { isServingWhileClosing = false }: RawBodyAppOptions = {},
): FastifyInstance => {
  const app = Fastify({
    bodyLimit,
    keepAliveTimeout: 30_000,
    requestTimeout: 0,
    return503OnClosing: !isServingWhileClosing,
  });
  serverSockets.startTracking(app.server);
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
  return app;
};
