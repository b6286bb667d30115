import { z } from 'zod';

/** Longest duration that another process may set, in milliseconds: a day. Timers take less than 2^31 ms. */
const MAX_DURATION_MS = 86_400_000;

/** Schema of a duration in milliseconds that another process sets. */
export const durationSchema = z.number().nonnegative().max(MAX_DURATION_MS);
