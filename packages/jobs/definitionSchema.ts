import { z } from 'zod';
import type { CustomerName } from '../customers/CustomerName';
import { toId } from '../common/toId';
import type { JobDefinition } from './JobDefinition';
import type { JobId } from './JobId';
import { queueSchema } from './queueSchema';

const wholeSchema = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

const flagSchema = z.boolean().default(false);
const textSchema = z.string().default('');

const amountSchema = z.number().min(0);
const demandSchema = z.object({ cpuMillis: wholeSchema, memoryMb: wholeSchema, accelerators: wholeSchema });

/** Schema of a step. `formatDefinition` omits values that equal the defaults. */
const stepSchema = z.object({
  count: wholeSchema,
  demand: demandSchema,
  estimatedMs: z.number().default(0),
  dependsOn: z.array(wholeSchema).default([]),
  isGang: flagSchema,
  isSameRack: flagSchema,
  requiredLabel: textSchema,
  dataRack: textSchema,
  maxPerEndpoint: wholeSchema.default(0),
  allowsDuplicates: flagSchema,
  isLongRunning: flagSchema,
  isCheckpointing: flagSchema,
  image: textSchema,
  targetMs: z.number().default(0),
  isFiller: flagSchema,
  missAllowed: wholeSchema.default(0),
});

const customerSchema = z.object({
  name: z.string().transform((text) => toId<CustomerName>(text)),
  weight: amountSchema.default(0),
  limit: z.object({ cpuMillis: amountSchema, memoryMb: amountSchema, accelerators: amountSchema }),
});

/** Schema of the log record of an accepted job. */
export const definitionSchema: z.ZodType<JobDefinition> = z.object({
  id: z.string().transform((text) => toId<JobId>(text)),
  queue: queueSchema,
  queueVersion: z.number().exactOptional(),
  customer: customerSchema.exactOptional(),
  spec: z.string(),
  steps: z.array(stepSchema),
  times: wholeSchema,
  firstRunMs: z.number(),
  intervalMs: z.number(),
  acceptedAtMs: z.number(),
});
