import { z } from 'zod';

const demand = z.object({
  cpus: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0),
  slots: z.number().min(0),
});

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
        capacity: demand,
        connections: z.int().min(1),
      }),
    ),
  }),
  reports: z.object({
    reports: z.array(
      z.object({
        worker: z.string().min(1),
        ageMs: z.number().min(0),
        tasks: z.array(z.object({ task: z.string(), need: demand, endsWithinMs: z.number().min(0) })),
      }),
    ),
  }),
} as const;
