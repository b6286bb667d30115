import type { z } from 'zod';
import type { relayMessageSchema } from './relayMessageSchema';

/** Message of a leader to a call relay. */
export type RelayMessage = z.output<typeof relayMessageSchema>;
