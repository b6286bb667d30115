/** Fixed numbers of the link between entry boxes. */
export const PEERS = {
  /** Version of the protocol; a process refuses another one. */
  protocol: 1,
  /** Path of the WebSocket link on the peers' listener. */
  path: '/trpc',
  /** Longest wait for an answer as a part of the lease: a death must be proved while the dead one's promise stands. */
  timeoutPart: 1 / 4,
} as const;
