import type { UnitId } from '../common/UnitId';
import type { Holding } from './Holding';

/** What a former owner says of a unit that it may place on no more. */
export interface Release {
  readonly unit: UnitId;
  /** The last view under which the sender was its owner: for a planned stop the view in which it stopped. */
  readonly lastOwnedView: number;
  /** True when a planned stop ended the ownership within that view, so that others may have followed in it. */
  readonly isByStop: boolean;
  /** True when the holdings are all that can be running on the unit. */
  readonly isComplete: boolean;
  readonly holdings: readonly Holding[];
}
