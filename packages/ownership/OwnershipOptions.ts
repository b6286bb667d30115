import type { ProcessId } from '../common/ProcessId';
import type { UnitId } from '../common/UnitId';
import type { Holding } from './Holding';
import type { OwnershipRules } from './OwnershipRules';
import type { OwnershipTimings } from './OwnershipTimings';

/** What an Ownership is made with. */
export interface OwnershipOptions {
  readonly self: ProcessId;
  readonly timings: OwnershipTimings;
  readonly rules?: OwnershipRules;
  /** The tasks that this process itself has on a unit, owned or lost. */
  readonly readOwnHoldings: (unit: UnitId) => readonly Holding[];
}
