import { z } from 'zod';
import { TABLE_LIMITS } from './constants';

const NAME = /^[a-z][a-z0-9-]{0,62}$/;
const HOUR_MS = 3_600_000;
const toCount = (max: number) => z.int().min(0).max(max);
const duration = z
  .int()
  .min(1)
  .max(24 * HOUR_MS);

/** Checks one row as settings and operators write it; unknown columns are refused. */
export const rowSchema = z.strictObject({
  class: z.enum(['service', 'batch', 'standing']),
  team: z.string().regex(NAME),
  weight: z.number().min(0.01).max(1000).default(1),
  priority: z.int().min(0).max(100).default(0),
  cpus: z.number().min(0).max(1024).default(1),
  memoryMb: toCount(16_777_216).default(256),
  accelerators: toCount(64).default(0),
  slots: z.int().min(1).max(64).default(1),
  maxRunning: toCount(1_000_000).default(0),
  maxQueued: z.int().min(1).max(100_000).default(1000),
  maxSharePercent: z.int().min(1).max(100).default(100),
  deadlineMs: duration.default(30_000),
  expectedMs: duration.default(1000),
  timeLimitMs: z.int().min(1).max(TABLE_LIMITS.longestTaskMs).default(60_000),
  repeatable: z.boolean().default(true),
  placement: z.enum(['spread', 'pack']).default('spread'),
  preemptible: z.boolean().default(false),
  replicas: toCount(10_000).default(0),
});
