import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';
import type { KeyDigest } from './KeyDigest';

/** A customer in one version of the configuration. */
export interface CustomerPolicy {
  readonly name: CustomerName;
  /** Digests of the valid API keys. */
  readonly keys: readonly KeyDigest[];
  /** Weight of the customer in fair shares, and its share of accepted jobs in jobs per second; 0 when not given. */
  readonly weight: number;
  /** Maximum of resources that the customer's tasks may take on all endpoints together; 0 in a dimension means no limit. */
  readonly limit: TaskDemand;
}
