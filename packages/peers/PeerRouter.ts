import type { createPeerRouter } from './createPeerRouter';

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
