import type { z } from 'zod';
import type { settingsSchema } from './settingsSchema';

/** Checked settings of one deployment, as one process sees them. */
export type Settings = z.infer<typeof settingsSchema>;
