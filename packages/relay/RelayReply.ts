import type { z } from 'zod';
import type { relayReplySchema } from './relayReplySchema';

/** Message of a call relay to a leader. */
export type RelayReply = z.output<typeof relayReplySchema>;
