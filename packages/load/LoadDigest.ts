import type { CustomerLoad } from './CustomerLoad';
import type { QueueLoad } from './QueueLoad';

/**
 * What a leader tells all boxes of its load: bounded in size, sent with its heartbeats. It speaks for the endpoints and jobs of that leader
 * alone, so that several leaders may each send their own.
 */
export interface LoadDigest {
  /** Epoch of the leader that made it. */
  readonly epoch: number;
  /** Rises with each digest of an epoch. */
  readonly sequence: number;
  /** Wall clock of the leader's box when it was made, in milliseconds. */
  readonly madeAtMs: number;
  /** Processors of the usable endpoints and what is free of them, in thousandths of a core. */
  readonly capacityCpuMillis: number;
  readonly freeCpuMillis: number;
  /** The queues with most waiting first; bounded in number. */
  readonly queues: readonly QueueLoad[];
  /** The customers with most waiting first; bounded in number. */
  readonly customers: readonly CustomerLoad[];
}
