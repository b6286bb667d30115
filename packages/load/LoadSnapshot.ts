import type { CustomerName } from '../customers/CustomerName';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { QueueLoad } from './QueueLoad';

interface CustomerSnapshot {
  readonly weight: number;
  readonly waitingTasks: number;
  readonly waiting: TaskDemand;
  readonly held: TaskDemand;
}

/** What a leader's memory shows at one moment, before it is cut down to a digest. */
export interface LoadSnapshot {
  /** Room of the usable endpoints together, taken or not. */
  readonly capacity: TaskDemand;
  readonly freeCpuMillis: number;
  readonly queues: readonly Omit<QueueLoad, 'expectedWaitMs'>[];
  /** Customers that have something waiting. */
  readonly customers: ReadonlyMap<CustomerName, CustomerSnapshot>;
  /** What customers hold that have nothing waiting, as the sum of their dominant shares. */
  readonly othersShare: number;
}
