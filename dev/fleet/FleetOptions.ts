import type { z } from 'zod';
import type { settingsSchema } from '../../packages/settings/settingsSchema';
import type { Demand } from '../../packages/table/Demand';

type SettingsInput = z.input<typeof settingsSchema>;

interface FleetHall {
  readonly name: string;
  readonly entries: number;
  readonly workers: number;
}

/** The deployment that a fleet of processes plays. */
export interface FleetOptions {
  readonly halls: readonly FleetHall[];
  readonly capacity: Demand;
  readonly rows: SettingsInput['rows'];
  readonly teams?: SettingsInput['teams'];
  readonly timings?: SettingsInput['timings'];
  readonly limits?: SettingsInput['limits'];
  /** Lag of the stand-in's box list, in milliseconds. */
  readonly listLagMs?: number;
  readonly logForm?: 'text' | 'json';
}
