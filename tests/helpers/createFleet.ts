import { demoRows } from '../../dev/demo/demoRows';
import { Fleet } from '../../dev/fleet/Fleet';
import type { FleetOptions } from '../../dev/fleet/FleetOptions';
import { fastTimings } from './fastTimings';

/** Creates and starts a fleet of one hall with two entry boxes and four workers. The given options override these defaults. */
export const createFleet = async (options: Partial<FleetOptions> = {}): Promise<Fleet> => {
  const fleet = await Fleet.create({
    halls: [{ name: 'hall-a', entries: 2, workers: 4 }],
    capacity: { cpus: 16, memoryMb: 32_768, accelerators: 0, slots: 8 },
    rows: demoRows,
    timings: fastTimings,
    ...options,
  });
  await fleet.start();
  return fleet;
};
