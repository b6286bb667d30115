import type { CustomerPolicy } from '../customers/CustomerPolicy';
import type { QueueRoute } from './QueueRoute';

/** One version of the configuration in whole. */
export interface QueueConfiguration {
  readonly version: number;
  readonly routes: readonly QueueRoute[];
  /** Empty where the platform knows no customers. */
  readonly customers: readonly CustomerPolicy[];
  readonly maxBodyBytes: number;
}
