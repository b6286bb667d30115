import { z } from 'zod';
import type { RelayCallId } from './RelayCallId';

const call = z.number().transform((number) => number as RelayCallId);

/**
 * Schema of a message of a call relay to a leader.
 * - `answer`: the response to a call, with its body; null if it was not JSON.
 * - `failure`: how a call failed, as in `JsonResult`.
 * - `pong`: the number of a ping.
 * - `leave`: the box is about to stop, and should get no more calls.
 */
export const relayReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answer'), call, status: z.number(), value: z.unknown() }),
  z.object({
    kind: z.literal('failure'),
    call,
    failure: z.enum(['refused', 'unanswered', 'interrupted']),
    detail: z.string(),
  }),
  z.object({ kind: z.literal('pong'), number: z.number() }),
  z.object({ kind: z.literal('leave') }),
]);
