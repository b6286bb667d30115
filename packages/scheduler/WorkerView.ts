import type { WorkerId } from '../common/WorkerId';
import type { Demand } from '../table/Demand';

/** A worker as the scheduler sees it. */
export interface WorkerView {
  readonly id: WorkerId;
  readonly rack: string;
  readonly capacity: Demand;
  /** True while this process may place on it: owned, settled, not leaving, connected. */
  readonly isPlaceable: boolean;
  /** What others may still be running there; counts as occupied. */
  readonly foreign: Demand;
}
