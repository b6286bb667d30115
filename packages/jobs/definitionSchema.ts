import { z } from 'zod';
import { toId } from '../common/toId';
import type { JobDefinition } from './JobDefinition';
import type { JobId } from './JobId';
import type { ServiceName } from './ServiceName';

const whole = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

const flag = z.boolean().default(false);
const text = z.string().default('');

/** `formatDefinition` leaves out what is 0, false or empty. */
const stepSchema = z.object({
  count: whole,
  demand: z.object({ cpuMillis: whole, memoryMb: whole, accelerators: whole }),
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

const adviceSchema = z.object({
  decisionMs: z.number(),
  perEndpointMs: z.number(),
  validityMs: z.number(),
});

const queueSchema = z.object({
  name: z.string(),
  service: z.string().transform((text) => toId<ServiceName>(text)),
  priority: z.number(),
  attempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  advice: adviceSchema.exactOptional(),
});

/** The log record of an accepted job. */
export const definitionSchema: z.ZodType<JobDefinition> = z.object({
  id: z.string().transform((text) => toId<JobId>(text)),
  queue: queueSchema,
  spec: z.string(),
  steps: z.array(stepSchema),
  times: whole,
  firstRunMs: z.number(),
  intervalMs: z.number(),
  acceptedAtMs: z.number(),
});
