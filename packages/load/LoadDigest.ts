import type { CustomerLoad } from './CustomerLoad';
import type { QueueLoad } from './QueueLoad';

/**
 * Summary of a leader's load, published to all boxes with its heartbeats and bounded in size. The digest covers the endpoints and jobs of that
 * leader only.
 */
export interface LoadDigest {
  /** Epoch of the leader that created the digest. */
  readonly epoch: number;
  /** Increases with each digest of an epoch. */
  readonly sequence: number;
  /** Wall clock of the leader's box at creation, in Unix milliseconds. */
  readonly madeAtMs: number;
  /** Whole and free processor capacity of the schedulable endpoints, in thousandths of a core. */
  readonly capacityCpuMillis: number;
  readonly freeCpuMillis: number;
  /** The queues with most waiting tasks, in descending order; bounded in number. */
  readonly queues: readonly QueueLoad[];
  /** The customers with most waiting tasks, in descending order; bounded in number. */
  readonly customers: readonly CustomerLoad[];
}
