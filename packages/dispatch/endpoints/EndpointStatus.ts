import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndedTaskStatus } from './EndedTaskStatus';
import type { RunningTaskStatus } from './RunningTaskStatus';

/** Running and ended tasks that an endpoint has reported in response to a poll. */
export interface EndpointStatus {
  readonly endpoint: EndpointIncarnation;
  readonly running: readonly RunningTaskStatus[];
  readonly ended: readonly EndedTaskStatus[];
  /** Monotonic time at which the poll was sent. */
  readonly sentAt: number;
}
