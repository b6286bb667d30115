import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndedTaskStatus } from './EndedTaskStatus';
import type { RunningTaskStatus } from './RunningTaskStatus';

/** What an endpoint answered when it was looked at. */
export interface EndpointStatus {
  readonly endpoint: EndpointIncarnation;
  readonly running: readonly RunningTaskStatus[];
  readonly ended: readonly EndedTaskStatus[];
  /** Monotonic time at which the question was sent. */
  readonly sentAt: number;
}
