import Fastify, { type FastifyInstance } from 'fastify';
import { openSockets } from './openSockets';

/** Creates an HTTP server that hands on bodies as they are, whatever their type, up to `bodyLimit` bytes. */
export const createBufferApp = (bodyLimit: number): FastifyInstance => {
  const app = Fastify({ bodyLimit, keepAliveTimeout: 30_000, requestTimeout: 0 });
  openSockets.startRecording(app.server);
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
  return app;
};
