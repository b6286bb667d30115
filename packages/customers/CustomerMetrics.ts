import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';

/** Values of one customer in the metrics. */
export interface CustomerMetrics {
  readonly customer: CustomerName;
  /** Resources of runs that are in progress, including those whose end is not yet certain. */
  readonly usedResources: TaskDemand;
  /** Number of runs that are in progress, including those whose end is not yet certain. */
  readonly runCount: number;
  /** Number of tasks that are ready and wait for a start. */
  readonly waitingTaskCount: number;
  /** Limit of the resources of the customer's runs; 0 in a dimension means no limit. */
  readonly limit: TaskDemand;
}
