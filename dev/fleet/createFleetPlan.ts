import { join } from 'node:path';
import { toId } from '../../packages/common/toId';
import type { WorkerId } from '../../packages/common/WorkerId';
import type { StandinBox } from '../../packages/standins/StandinBox';
import type { FleetOptions } from './FleetOptions';
import type { FleetPlan } from './FleetPlan';

const HOST = '127.0.0.1';
const CONNECTIONS = 64;
const WORKERS_PER_RACK = 8;

/** Creates the plan of a fleet from free ports. */
export const createFleetPlan = (
  options: FleetOptions,
  ports: readonly number[],
  folder: string,
): FleetPlan => {
  const free = [...ports];
  const chooseAddress = () => `${HOST}:${free.shift()}`;
  const platform = chooseAddress();
  const entries = options.halls.flatMap((hall) =>
    Array.from({ length: hall.entries }, (_, index) => ({
      box: `${hall.name}-entry-${index + 1}`,
      hall: hall.name,
      callers: chooseAddress(),
      operators: chooseAddress(),
      peers: chooseAddress(),
    })),
  );
  const boxes: StandinBox[] = options.halls.flatMap((hall) =>
    Array.from({ length: hall.workers }, (_, index) => ({
      worker: toId<WorkerId>(`${hall.name}-worker-${index + 1}`),
      hall: hall.name,
      rack: `${hall.name}-rack-${Math.floor(index / WORKERS_PER_RACK) + 1}`,
      address: chooseAddress(),
      state: 'live' as const,
      capacity: options.capacity,
      connections: CONNECTIONS,
    })),
  );
  const { rows, teams = {}, timings = {}, limits = {}, logForm = 'text' } = options;
  const settings = { cell: 'fleet', platform, entries, logForm, timings, limits, rows, teams };
  const settingsFile = join(folder, 'settings.jsonc');
  return { folder, platform, settings, settingsFile, boxesFile: join(folder, 'boxes.json'), boxes };
};
