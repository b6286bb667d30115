import type { ListenerLimits } from './ListenerLimits';
import type { ListenerResources } from './ListenerResources';
import type { ListenerRole } from './ListenerRole';

/** Shares of the descriptors that each listener may use; the rest is for outgoing connections and files. */
const DESCRIPTOR_SHARES: Readonly<Record<ListenerRole, number>> = {
  callers: 0.4,
  readiness: 0.025,
  boxes: 0.15,
};
const HELD_MEMORY_SHARE = 1 / 16;
const REQUESTS_PER_MB = 4;
const BYTES_PER_MB = 1_048_576;
const MAX_REQUESTS_PER_CONNECTION = 64;
const MAX_SMALL_CHUNKS = 4096;
const REQUEST_TIMEOUT_MS = 60_000;
const RESPONSE_TIMEOUT_MS = 30_000;

/** Computes the default limits of a listener from the resources of its box. */
export const computeListenerLimits = (
  { memoryMb, maxDescriptors }: ListenerResources,
  role: ListenerRole,
): ListenerLimits => ({
  maxConnections: Math.max(1, Math.floor(maxDescriptors * DESCRIPTOR_SHARES[role])),
  maxRequests: Math.max(1, Math.floor(memoryMb * REQUESTS_PER_MB)),
  maxRequestsPerConnection: MAX_REQUESTS_PER_CONNECTION,
  maxHeldBytes: Math.floor(memoryMb * BYTES_PER_MB * HELD_MEMORY_SHARE),
  maxSmallChunks: MAX_SMALL_CHUNKS,
  requestTimeoutMs: REQUEST_TIMEOUT_MS,
  responseTimeoutMs: RESPONSE_TIMEOUT_MS,
});
