import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';

/** One customer for the metrics address. */
export interface CustomerMetrics {
  readonly name: CustomerName;
  /** What may be running now. */
  readonly used: TaskDemand;
  /** Runs that may be there now. */
  readonly runs: number;
  /** Tasks that could start and wait. */
  readonly waiting: number;
  /** 0 in a dimension means no limit there. */
  readonly limit: TaskDemand;
}
