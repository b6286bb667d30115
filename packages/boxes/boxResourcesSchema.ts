import { z } from 'zod';

/** Announced resources of a box. Boxes of earlier versions announce no link bandwidth. */
export const boxResourcesSchema = z.object({
  cores: z.number(),
  linkMbps: z.number().positive().default(Infinity),
});
