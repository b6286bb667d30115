/** Fixed numbers of the link between entry boxes. */
export const PEERS = {
  /** Version of the protocol; a process refuses another one. */
  protocol: 1,
  /** Path of the WebSocket link on the peers' listener. */
  path: '/trpc',
  /** Longest wait for an answer, in milliseconds. */
  timeoutMs: 1000,
} as const;
