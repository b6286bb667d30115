import type { WorkerId } from '../common/WorkerId';
import type { Row } from '../table/Row';
import type { RoomIndex } from './RoomIndex';

/** What a policy decides; everything else is the same for all. */
export interface Policy {
  /** False: rows are served strictly by arrival, as one line. */
  readonly isWeighted: boolean;
  /** True: a request that cannot meet its deadline is refused at once. */
  readonly isAdmissionChecked: boolean;
  /** True: service requests may stop preemptible work. */
  readonly isPreempting: boolean;
  /** True: a row holds at most its share of the slots. */
  readonly isShareKept: boolean;
  /** True: a request that has waited must leave room for a long run, not only for a mean one, before its deadline. */
  readonly isRunSpreadCounted: boolean;
  /** True: preemptible work leaves free what service requests took back from it of late. */
  readonly isHeadroomKept: boolean;
  /** True: workers whose tasks run longer than those of others come last. */
  readonly isSlownessCounted: boolean;
  /** Chooses one of the workers that have room for one task of the row. `pick` is a random number below 1. */
  readonly chooseWorker: (row: Row, index: RoomIndex, pick: number) => WorkerId | undefined;
}
