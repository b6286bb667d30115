import type { ProcessId } from '../common/ProcessId';
import type { Demand } from '../table/Demand';

/** One task that may still be running on a unit. */
export interface Holding {
  readonly task: string;
  /** The process that started it. */
  readonly holder: ProcessId;
  readonly need: Demand;
  /** The task has ended after this time at the latest, in milliseconds from when the statement was made. */
  readonly endsWithinMs: number;
  /** True when its holder may renew its lease, so that time alone does not end it while the holder lives. */
  readonly isRenewable: boolean;
}
