import { z } from 'zod';

const number = z.number();

/**
 * Schema of a message of a leader to a call relay, a tuple that begins with its kind.
 * - `call`: client, call, path, body, timeout in milliseconds, and whether the call must reuse the connection of the client's last response.
 * - `open`: client, address, number of connections, headers.
 * - `renew`: a client whose later calls use new connections.
 * - `close`: a client without further calls; active ones end as usual.
 * - `abort`: a client whose active calls are given up.
 * - `ping`: a number to be sent back.
 */
export const relayMessageSchema = z.union([
  z.tuple([
    z.literal('call'),
    number,
    number,
    z.string(),
    z.record(z.string(), z.unknown()),
    number.positive(),
    z.boolean(),
  ]),
  z.tuple([z.literal('open'), number, z.string(), number.int().positive(), z.record(z.string(), z.string())]),
  z.tuple([z.literal('renew'), number]),
  z.tuple([z.literal('close'), number]),
  z.tuple([z.literal('abort'), number]),
  z.tuple([z.literal('ping'), number]),
]);
