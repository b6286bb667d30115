import { z } from 'zod';
import { durationSchema } from '../common/durationSchema';
import { toId } from '../common/toId';
import type { JobQueue } from './JobQueue';
import type { ServiceName } from './ServiceName';

const adviceSchema = z.object({
  decisionMs: durationSchema,
  perEndpointMs: durationSchema,
  validityMs: durationSchema,
});

/** Schema of a queue's policy in log records and in messages between boxes. */
export const queueSchema: z.ZodType<JobQueue> = z.object({
  name: z.string(),
  service: z.string().transform((text) => toId<ServiceName>(text)),
  priority: z.number(),
  attempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  advice: adviceSchema.exactOptional(),
});
