import type { z } from 'zod';
import type { settingsSchema } from './settingsSchema';

/** Validated settings of one process. */
export type Settings = z.infer<typeof settingsSchema>;
