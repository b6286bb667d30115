import type { CustomerPolicy } from '../customers/CustomerPolicy';
import type { QueueRoute } from './QueueRoute';

/** Complete configuration of one version. */
export interface QueueConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly QueueRoute[];
  /** Empty if the platform has no customers. */
  readonly customers: readonly CustomerPolicy[];
  readonly maxBodyBytes: number;
}
