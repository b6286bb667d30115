import { z } from 'zod';
import { listedTasksSchema } from '../ownership/listedTasksSchema';
import { demandSchema } from '../table/demandSchema';

/** The forms of the platform's answers. Unknown fields are passed over: the platform may add some. */
export const platformSchemas = {
  appended: z.object({ offset: z.int().min(0) }),
  page: z.object({
    first: z.int().min(0),
    tail: z.int().min(0),
    records: z.array(z.object({ offset: z.int().min(0), value: z.unknown() })),
  }),
  boxes: z.object({
    boxes: z.array(
      z.object({
        worker: z.string().min(1),
        rack: z.string(),
        address: z.string().min(1),
        state: z.enum(['live', 'leaving']),
        capacity: demandSchema,
        connections: z.int().min(1),
      }),
    ),
  }),
  reports: z.object({
    reports: z.array(
      z.object({
        worker: z.string().min(1),
        ageMs: z.number().min(0),
        tasks: listedTasksSchema,
      }),
    ),
  }),
} as const;
