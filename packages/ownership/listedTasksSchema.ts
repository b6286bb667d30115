import { z } from 'zod';
import { demandSchema } from '../table/demandSchema';

/** Checks a list of what runs on a worker, as reports and endpoints give it. */
export const listedTasksSchema = z.array(
  z.object({ task: z.string(), need: demandSchema, endsWithinMs: z.number().min(0) }),
);
