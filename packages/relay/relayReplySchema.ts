import { z } from 'zod';

const number = z.number();

/**
 * Schema of a message of a call relay to a leader, a tuple that begins with its kind.
 * - `answer`: call, status, and body of the response; null if it was not JSON.
 * - `failure`: call, and how it failed.
 * - `pong`: the number of a ping.
 * - `leave`: the relay is about to stop, and should get no more calls.
 */
export const relayReplySchema = z.union([
  z.tuple([z.literal('answer'), number, number, z.unknown()]),
  z.tuple([z.literal('failure'), number, z.enum(['refused', 'unanswered', 'interrupted']), z.string()]),
  z.tuple([z.literal('pong'), number]),
  z.tuple([z.literal('leave')]),
]);
