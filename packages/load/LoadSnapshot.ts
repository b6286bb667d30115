import type { CustomerName } from '../customers/CustomerName';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { QueueLoad } from './QueueLoad';

/** Demand of one customer. */
interface CustomerSnapshot {
  readonly weight: number;
  readonly waitingTasks: number;
  /** Total demand of the customer's waiting tasks. */
  readonly waitingDemand: TaskDemand;
  /** Resources that the customer's runs take. */
  readonly usedResources: TaskDemand;
}

/** Load of a leader at one moment, from which a digest is created. */
export interface LoadSnapshot {
  /** Total capacity of the schedulable endpoints. */
  readonly capacity: TaskDemand;
  readonly freeCpuMillis: number;
  readonly queues: readonly Omit<QueueLoad, 'expectedWaitMs'>[];
  /** Customers with waiting tasks. */
  readonly customers: ReadonlyMap<CustomerName, CustomerSnapshot>;
  /** Sum of the dominant shares of the customers that are not in `customers`. */
  readonly otherCustomersShare: number;
}
