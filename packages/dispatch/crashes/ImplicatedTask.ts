import type { TaskRef } from './TaskRef';

/** A task that the crash of an endpoint was put down to, kept until the crash is outdated. */
export interface ImplicatedTask extends TaskRef {
  /** True when the task is to blame, as its crash record has another degree of blame than `present`. */
  readonly isBlamed: boolean;
  /** Monotonic time at which the crash was recorded. */
  readonly recordedAt: number;
}
