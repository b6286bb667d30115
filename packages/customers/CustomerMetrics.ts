import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';

/** Values of one customer in the metrics. */
export interface CustomerMetrics {
  readonly name: CustomerName;
  /** Resources of runs that may be in progress. */
  readonly used: TaskDemand;
  /** Number of runs that may be in progress. */
  readonly runs: number;
  /** Number of tasks that are ready and wait for a start. */
  readonly waiting: number;
  /** 0 in a dimension means no limit. */
  readonly limit: TaskDemand;
}
