import { z } from 'zod';
import { toId } from '../common/toId';
import type { CustomerName } from './CustomerName';
import type { JobCaller } from './JobCaller';

/** Schema of a caller of a request about a job, in requests between boxes and in records of the log. */
export const jobCallerSchema = z.object({
  queue: z.string(),
  isOpen: z.boolean(),
  customer: z
    .string()
    .transform((text) => toId<CustomerName>(text))
    .optional(),
}) satisfies z.ZodType<JobCaller>;
