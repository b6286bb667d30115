import type { z } from 'zod';
import type { relayMessageSchema } from './relayMessageSchema';

/** Message of a leader to a call relay. A frame is a JSON list of them. */
export type RelayMessage = z.infer<typeof relayMessageSchema>;
