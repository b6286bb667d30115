import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';

/** Customer of a job. Stored with the job, so that a new leader knows the limit before its first start. */
export interface JobCustomer {
  readonly name: CustomerName;
  /** Jobs per second in the customer's share when the job was accepted; 0 for no share. */
  readonly weight: number;
  /** The customer's limit when the job was accepted; 0 in a dimension means no limit. */
  readonly limit: TaskDemand;
}
