import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';

/** Whose job it is. Kept with the job, so that a new leader knows the limit before its first start. */
export interface JobCustomer {
  readonly name: CustomerName;
  /** Jobs a second that the customer is owed, when the job was accepted; 0 for no share. */
  readonly weight: number;
  /** The customer's limit when the job was accepted; 0 in a dimension means no limit there. */
  readonly limit: TaskDemand;
}
