import type { ListenerLimits } from '../gateway/ListenerLimits';
import type { LimitOption } from './LimitOption';

/** Options of `stairline serve` for the limits of the listener for callers, by the limit that they set. */
export const limitOptions: Readonly<Record<keyof ListenerLimits, LimitOption>> = {
  maxConnections: {
    name: 'max-connections',
    min: 1,
    help: 'open connections of callers (default: 40 % of the descriptors in the settings)',
  },
  maxRequests: {
    name: 'max-requests',
    min: 1,
    help: 'requests of callers without a response yet (default: 4 for each MB of memory in the settings)',
  },
  maxRequestsPerConnection: {
    name: 'max-requests-ahead',
    min: 1,
    help: 'requests without a response yet on one connection (default: 64)',
  },
  maxHeldBytes: {
    name: 'max-held-bytes',
    min: 1_048_576,
    help: 'bytes of all request bodies that are held, and of all responses that are not sent (default: a sixteenth of the memory in the settings)',
  },
  maxSmallChunks: {
    name: 'max-small-chunks',
    min: 1,
    help: 'chunks of a request body, beyond one for each 16 bytes (default: 4096)',
  },
  requestTimeoutMs: {
    name: 'request-timeout-ms',
    min: 1000,
    help: 'time for a request to arrive, in milliseconds (default: 60000)',
  },
  responseTimeoutMs: {
    name: 'response-timeout-ms',
    min: 1000,
    help: 'time for which a caller may take nothing of its response, in milliseconds (default: 30000)',
  },
};
