/** Limits of one listener for HTTP requests, over all its connections unless a name says otherwise. */
export interface ListenerLimits {
  /** Open connections. One more closes the connection that has waited longest for a complete request. */
  readonly maxConnections: number;
  /** Requests that have been read and not been answered. Further ones get status 503. */
  readonly maxRequests: number;
  /** The same of one connection. One more closes the connection. */
  readonly maxRequestsPerConnection: number;
  /** Bytes of all bodies that are being read, or whose requests have not been answered; also of all responses that have not been sent. */
  readonly maxHeldBytes: number;
  /** Chunks of a body beyond those that `MIN_CHUNK_BYTES` allow for its length. */
  readonly maxSmallChunks: number;
  /** Time for a request to arrive, from its first byte to the end of its body, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** Time for which a client may take nothing of a response that waits for it, in milliseconds. */
  readonly responseTimeoutMs: number;
}
