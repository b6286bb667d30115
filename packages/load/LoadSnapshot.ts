import type { CustomerName } from '../customers/CustomerName';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { QueueLoad } from './QueueLoad';

interface CustomerSnapshot {
  readonly weight: number;
  readonly waitingTasks: number;
  readonly waiting: TaskDemand;
  readonly held: TaskDemand;
}

/** Load of a leader at one moment, from which a digest is created. */
export interface LoadSnapshot {
  /** Total capacity of the schedulable endpoints. */
  readonly capacity: TaskDemand;
  readonly freeCpuMillis: number;
  readonly queues: readonly Omit<QueueLoad, 'expectedWaitMs'>[];
  /** Customers with waiting tasks. */
  readonly customers: ReadonlyMap<CustomerName, CustomerSnapshot>;
  /** Sum of the dominant shares of all other customers. */
  readonly othersShare: number;
}
