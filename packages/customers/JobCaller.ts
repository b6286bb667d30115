import type { CustomerName } from './CustomerName';

/** Caller of a request about a job, and the queue that the request came through. */
export interface JobCaller {
  readonly queue: string;
  /** True when the queue admits requests without a key. */
  readonly isOpen: boolean;
  /** Customer of the request's API key; undefined without a known key. */
  readonly customer?: CustomerName | undefined;
}
