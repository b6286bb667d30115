import type { JobQueue } from '../jobs/JobQueue';

/** One configured way for callers to a queue. */
export interface QueueRoute {
  readonly host: string;
  readonly pathPrefix: string;
  readonly queue: JobQueue;
  /** True when calls need no customer's key. */
  readonly isOpen: boolean;
}
