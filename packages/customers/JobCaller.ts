import type { CustomerName } from './CustomerName';

/** Who asks about a job, and through which queue. */
export interface JobCaller {
  readonly queue: string;
  /** True for queues that are open to all. */
  readonly isOpen: boolean;
  /** Undefined without a key. */
  readonly customer?: CustomerName | undefined;
}
