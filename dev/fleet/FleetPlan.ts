import type { z } from 'zod';
import type { settingsSchema } from '../../packages/settings/settingsSchema';
import type { StandinBox } from '../../packages/standins/StandinBox';

/** Where everything of a fleet listens and lies. */
export interface FleetPlan {
  readonly folder: string;
  readonly platform: string;
  readonly settings: z.input<typeof settingsSchema>;
  readonly settingsFile: string;
  readonly boxesFile: string;
  readonly boxes: readonly StandinBox[];
}
