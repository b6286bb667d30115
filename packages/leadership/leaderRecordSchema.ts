import { z } from 'zod';
import { hostPortSchema } from '../common/hostPortSchema';

/** Highest valid epoch. Leaves room for the epochs of later claims, which have to be exact integers. */
const MAX_EPOCH = Number.MAX_SAFE_INTEGER - 2 ** 32;

/** Schema of a leader record, in the log and in announcements. */
export const leaderRecordSchema = z.object({
  epoch: z.number().int().nonnegative().max(MAX_EPOCH),
  box: z.string(),
  address: hostPortSchema.optional(),
  process: z.string(),
  isResigned: z.boolean(),
  successor: hostPortSchema.optional(),
  earlierLeasesMs: z.number().min(0).optional(),
  witnesses: z.array(z.object({ box: z.string(), address: hostPortSchema, process: z.string() })).optional(),
  previous: z.object({ box: z.string(), address: hostPortSchema.optional(), process: z.string() }).optional(),
});
