import type { JobQueue } from '../jobs/JobQueue';

/** Maps the calls of one host and path prefix to a queue. */
export interface QueueRoute {
  readonly host: string;
  readonly pathPrefix: string;
  readonly queue: JobQueue;
  /** True if calls need no customer key. */
  readonly isOpen: boolean;
}
