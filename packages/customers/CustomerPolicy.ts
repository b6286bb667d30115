import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';
import type { KeyDigest } from './KeyDigest';

/** A customer in one version of the configuration. */
export interface CustomerPolicy {
  readonly name: CustomerName;
  /** Digests of the valid API keys. */
  readonly keys: readonly KeyDigest[];
  /** Weight of the customer's fair share of the endpoints, and its share of jobs per second; 0 when not given. */
  readonly weight: number;
  /** Maximum of resources that the customer's tasks may take on all endpoints together; 0 in a dimension means no limit. */
  readonly limit: TaskDemand;
}
