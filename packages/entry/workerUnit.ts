import { toId } from '../common/toId';
import type { UnitId } from '../common/UnitId';
import type { WorkerId } from '../common/WorkerId';

const PREFIX = 'worker/';

/** Turns workers into units of ownership and back. */
export const workerUnit = {
  toUnit: (worker: WorkerId): UnitId => toId<UnitId>(`${PREFIX}${worker}`),
  /** The worker of a unit, or undefined for another kind of unit. */
  toWorker: (unit: UnitId): WorkerId | undefined =>
    unit.startsWith(PREFIX) ? toId<WorkerId>(unit.slice(PREFIX.length)) : undefined,
} as const;
