import { z } from 'zod';

/** What a box tells of its power. Boxes of earlier versions do not tell their link. */
export const boxPowerSchema = z.object({
  cores: z.number(),
  linkMbps: z.number().positive().default(Infinity),
});
