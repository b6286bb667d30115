import { z } from 'zod';
import type { PeerMessage } from './PeerMessage';
import { PEERS } from './constants';

const ownership = z.looseObject({
  from: z.string().min(1),
  sequence: z.int().min(0),
  viewNumber: z.int().min(0),
  isStopped: z.boolean(),
  ended: z.array(z.string()),
  wanted: z.array(z.string()),
  releases: z.array(
    z.looseObject({ unit: z.string(), lastOwnedView: z.int(), holdings: z.array(z.looseObject({})) }),
  ),
  isPromise: z.boolean(),
});

const schema = z.object({
  protocol: z.literal(PEERS.protocol),
  box: z.string().min(1),
  hall: z.string().min(1),
  process: z.string().min(1),
  stamp: z.object({ ms: z.number(), count: z.int() }),
  tableOffset: z.int(),
  room: z.record(z.string(), z.number()),
  isTaking: z.boolean(),
  ownership: ownership.optional(),
});

/** Checks a message of another entry process. */
export const peerMessageSchema = schema as unknown as z.ZodType<PeerMessage, PeerMessage>;
