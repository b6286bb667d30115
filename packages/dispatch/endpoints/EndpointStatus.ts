import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndedTaskStatus } from './EndedTaskStatus';
import type { RunningTaskStatus } from './RunningTaskStatus';

/** Status of an incarnation, as reported in response to a poll: its running tasks, and the ended ones that are not acknowledged. */
export interface EndpointStatus {
  readonly endpoint: EndpointIncarnation;
  readonly running: readonly RunningTaskStatus[];
  readonly ended: readonly EndedTaskStatus[];
  /** Monotonic time at which the poll was sent. */
  readonly pollSentAt: number;
}
