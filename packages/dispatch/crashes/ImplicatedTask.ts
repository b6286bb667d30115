import type { TaskRef } from './TaskRef';

/** A task that was charged with the end of an endpoint, for as long as that is remembered. */
export interface ImplicatedTask extends TaskRef {
  /** It may have ended the endpoint, rather than only been there. */
  readonly isBlamed: boolean;
  /** Monotonic time of the charge. */
  readonly since: number;
}
