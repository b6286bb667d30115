import { z } from 'zod';

/** Longest time limit that another process may set. Timers take no more than 2^31 ms. */
const MAX_TIMEOUT_MS = 3_600_000;

/** Schema of a time limit in milliseconds that another process sets. */
export const timeoutSchema = z.number().positive().max(MAX_TIMEOUT_MS);
