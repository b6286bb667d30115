import type { z } from 'zod';
import type { relayReplySchema } from './relayReplySchema';

/** Message of a call relay to a leader. A frame is a JSON list of them. */
export type RelayReply = z.infer<typeof relayReplySchema>;
