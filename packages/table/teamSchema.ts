import { z } from 'zod';

/** Checks one team's quota; unknown columns are refused. */
export const teamSchema = z.strictObject({
  maxRunning: z.int().min(0).max(1_000_000).default(0),
  maxQueued: z.int().min(0).max(100_000).default(0),
});
