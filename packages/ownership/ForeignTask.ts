import type { ProcessId } from '../common/ProcessId';
import type { Demand } from '../table/Demand';

/** A task that another process started on a unit which is ours now. */
export interface ForeignTask {
  readonly need: Demand;
  /** Local time after which it has ended for certain; Infinity while its holder may renew it. */
  readonly endsAt: number;
  readonly holder: ProcessId;
}
