import { z } from 'zod';

/** Schema of a leader record, in the log and in announcements. */
export const leaderRecordSchema = z.object({
  epoch: z.number(),
  box: z.string(),
  address: z.string().optional(),
  process: z.string(),
  isResigned: z.boolean(),
  successor: z.string().optional(),
  earlierLeasesMs: z.number().min(0).optional(),
  witnesses: z.array(z.object({ box: z.string(), address: z.string(), process: z.string() })).optional(),
  previous: z.object({ box: z.string(), address: z.string().optional(), process: z.string() }).optional(),
});
