import Fastify, { type FastifyInstance } from 'fastify';
import { createLogger } from '../common/createLogger';
import type { Logger } from '../common/Logger';
import { computeListenerLimits } from './computeListenerLimits';
import { ConnectionGuard } from './ConnectionGuard';
import { createBodyParser } from './createBodyParser';
import { defaultListenerResources } from './defaultListenerResources';
import type { ListenerLimits } from './ListenerLimits';
import type { RefusalCause } from './RefusalCause';
import { serverSockets } from './serverSockets';

interface RawBodyAppOptions {
  /** True if requests that arrive while the server closes reach the handlers; else they get status 503 before their body is read. */
  readonly isServingWhileClosing?: boolean;
  /** Limits of the listener; those of a box with the default resources if not given. */
  readonly limits?: ListenerLimits | undefined;
  readonly logger?: Logger;
  /** Called for each request that is refused and each connection that is closed by a limit. */
  readonly recordRefusal?: ((cause: RefusalCause) => void) | undefined;
}

const DEFAULT_LIMITS = computeListenerLimits(defaultListenerResources, 'callers');
const TIMEOUT_CHECK_INTERVAL_MS = 1000;

/** Creates an HTTP server that passes request bodies to its handlers as buffers, whatever their content type, up to `bodyLimit` bytes. */
export const createRawBodyApp = (
  bodyLimit: number,
  { isServingWhileClosing = false, limits = DEFAULT_LIMITS, logger, recordRefusal }: RawBodyAppOptions = {},
): FastifyInstance => {
  const app = Fastify({
    bodyLimit,
    keepAliveTimeout: 30_000,
    requestTimeout: limits.requestTimeoutMs,
    return503OnClosing: !isServingWhileClosing,
    // The guard answers requests without a host, which Node would do without counting them.
    http: { connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, requireHostHeader: false },
  });
  app.server.headersTimeout = limits.requestTimeoutMs;
  serverSockets.startTracking(app.server);
  const guard = new ConnectionGuard({
    limits,
    logger: logger ?? createLogger({ part: 'listener', box: '', form: 'text' }),
    recordRefusal: recordRefusal ?? (() => undefined),
  });
  guard.startGuarding(app.server);
  app.addHook('onResponse', async ({ raw }) => guard.releaseBody(raw));
  app.removeAllContentTypeParsers();
  const { maxSmallChunks } = limits;
  app.addContentTypeParser('*', createBodyParser({ bodyLimit, maxSmallChunks, guard }));
  return app;
};
