import { z } from 'zod';

/** Most cores that an announcement may claim; one with more comes from another writer. */
const MAX_CORES = 100_000;

/** Announced resources of a box. Boxes of earlier versions announce no link bandwidth. */
export const boxResourcesSchema = z.object({
  cores: z.number().positive().max(MAX_CORES),
  linkMbps: z.number().positive().default(Infinity),
});
