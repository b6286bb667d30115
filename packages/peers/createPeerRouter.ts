import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import type { PeerHandlers } from './PeerHandlers';
import { peerMessageSchema } from './peerMessageSchema';

const trpc = initTRPC.create();

/** Creates the tRPC router that entry processes call on each other. */
export const createPeerRouter = (handlers: PeerHandlers) =>
  trpc.router({
    heartbeat: trpc.procedure
      .input(peerMessageSchema)
      .mutation(({ input }) => handlers.handleHeartbeat(input)),
    table: trpc.procedure
      .input(z.object({ after: z.int().min(-1) }))
      .query(({ input }) => handlers.readTable(input.after)),
  });
