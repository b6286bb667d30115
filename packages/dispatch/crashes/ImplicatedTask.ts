import type { TaskRef } from './TaskRef';

/** A task that the crash of an endpoint was put down to, kept until the crash is outdated. */
export interface ImplicatedTask extends TaskRef {
  /** True when the task may have crashed the endpoint, false when it only ran there. */
  readonly isBlamed: boolean;
  /** Monotonic time at which the crash was recorded. */
  readonly recordedAt: number;
}
