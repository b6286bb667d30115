import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { formatError } from '../../packages/common/formatError';
import type { Result } from '../../packages/common/Result';
import type { SoakPlan } from './SoakPlan';
import { soakTroubles } from './soakTroubles';

const time = z.number().min(0);
const keptSoakSchema = z.object({
  plan: z.object({
    seed: z.number().int(),
    boxes: z.number().int().min(1),
    executors: z.number().int().min(1),
    coresPerBox: z.number().positive().optional(),
    troubledMs: time,
  }),
  troubles: z.array(
    z.object({
      name: z.string().refine((name) => Object.hasOwn(soakTroubles, name), 'unknown trouble'),
      atMs: time,
      seed: z.number().int(),
    }),
  ),
});

/** Reads the file that a failed soak has kept, as a plan that plays the same troubles; the error says what is wrong with the file. */
export const readKeptSoak = (file: string): Result<SoakPlan, string> => {
  try {
    const parsed = keptSoakSchema.safeParse(JSON.parse(readFileSync(file, 'utf8')));
    return parsed.success
      ? { ok: true, value: { ...parsed.data.plan, schedule: parsed.data.troubles } }
      : { ok: false, error: z.prettifyError(parsed.error) };
  } catch (thrown) {
    return { ok: false, error: formatError(thrown) };
  }
};
