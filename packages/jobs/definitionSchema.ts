import { z } from 'zod';
import type { CustomerName } from '../customers/CustomerName';
import { toId } from '../common/toId';
import type { JobDefinition } from './JobDefinition';
import type { JobId } from './JobId';
import { queueSchema } from './queueSchema';

const whole = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

const flag = z.boolean().default(false);
const text = z.string().default('');

const amount = z.number().min(0);
const demandSchema = z.object({ cpuMillis: whole, memoryMb: whole, accelerators: whole });

/** `formatDefinition` omits the default values. */
const stepSchema = z.object({
  count: whole,
  demand: demandSchema,
  estimatedMs: z.number().default(0),
  dependsOn: z.array(whole).default([]),
  isGang: flag,
  isSameRack: flag,
  requiredLabel: text,
  dataRack: text,
  maxPerEndpoint: whole.default(0),
  allowsDuplicates: flag,
  isLongRunning: flag,
  isCheckpointing: flag,
  image: text,
  targetMs: z.number().default(0),
  isFiller: flag,
  missAllowed: whole.default(0),
});

const customerSchema = z.object({
  name: z.string().transform((text) => toId<CustomerName>(text)),
  weight: amount.default(0),
  limit: z.object({ cpuMillis: amount, memoryMb: amount, accelerators: amount }),
});

/** Schema of the log record of an accepted job. */
export const definitionSchema: z.ZodType<JobDefinition> = z.object({
  id: z.string().transform((text) => toId<JobId>(text)),
  queue: queueSchema,
  customer: customerSchema.exactOptional(),
  spec: z.string(),
  steps: z.array(stepSchema),
  times: whole,
  firstRunMs: z.number(),
  intervalMs: z.number(),
  acceptedAtMs: z.number(),
});
