import { z } from 'zod';
import { hostPortSchema } from '../common/hostPortSchema';
import { maxRisingNumber } from '../common/maxRisingNumber';
import { toId } from '../common/toId';
import type { EndpointId } from '../jobs/EndpointId';

/** Schema of a leader record, in the log and in announcements. */
export const leaderRecordSchema = z.object({
  epoch: z.number().int().nonnegative().max(maxRisingNumber),
  box: z.string(),
  address: hostPortSchema.optional(),
  process: z.string(),
  isResigned: z.boolean(),
  successor: hostPortSchema.optional(),
  earlierLeasesMs: z.number().min(0).optional(),
  witnesses: z.array(z.object({ box: z.string(), address: hostPortSchema, process: z.string() })).optional(),
  extendedLeases: z
    .array(
      z.object({
        endpoint: z.string().transform((text) => toId<EndpointId>(text)),
        remainingMs: z.number().min(0),
      }),
    )
    .optional(),
  unnamedLeasesMs: z.number().min(0).optional(),
  previous: z.object({ box: z.string(), address: hostPortSchema.optional(), process: z.string() }).optional(),
});
