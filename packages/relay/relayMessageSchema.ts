import { z } from 'zod';
import { hostPortSchema } from '../common/hostPortSchema';
import { timeoutSchema } from '../common/timeoutSchema';
import type { RelayCallId } from './RelayCallId';
import type { RelayClientId } from './RelayClientId';

const client = z.number().transform((number) => number as RelayClientId);
const call = z.number().transform((number) => number as RelayCallId);

/**
 * Schema of a message of a leader to a call relay.
 * - `call`: a request to be sent by a client.
 * - `open`: a client with connections of its own to one address.
 * - `renew`: a client whose later calls use new connections.
 * - `close`: a client without further calls; active ones end as usual.
 * - `abort`: a client whose active calls are given up.
 * - `ping`: a number to be sent back.
 */
export const relayMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('call'),
    client,
    call,
    path: z.string(),
    body: z.record(z.string(), z.unknown()),
    timeoutMs: timeoutSchema,
    mustReuseConnection: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal('open'),
    client,
    address: hostPortSchema,
    connections: z.number().int().positive(),
    headers: z.record(z.string(), z.string()),
  }),
  z.object({ kind: z.literal('renew'), client }),
  z.object({ kind: z.literal('close'), client }),
  z.object({ kind: z.literal('abort'), client }),
  z.object({ kind: z.literal('ping'), number: z.number() }),
]);
