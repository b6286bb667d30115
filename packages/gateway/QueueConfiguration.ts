import type { QueueRoute } from './QueueRoute';

/** One version of the configuration in whole. */
export interface QueueConfiguration {
  readonly version: number;
  readonly routes: readonly QueueRoute[];
  readonly maxBodyBytes: number;
}
