import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';
import type { KeyDigest } from './KeyDigest';

/** One customer in a version of the configuration. */
export interface CustomerPolicy {
  readonly name: CustomerName;
  /** Digests of the keys that work. */
  readonly keys: readonly KeyDigest[];
  /** Share of the endpoints when all are full, and jobs a second that the customer is owed; 0 when not given. */
  readonly weight: number;
  /** What the customer's tasks may take over all endpoints together; 0 in a dimension means no limit there. */
  readonly limit: TaskDemand;
}
