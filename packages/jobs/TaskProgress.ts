import type { EndpointIncarnation } from './EndpointIncarnation';
import type { TaskCrash } from './TaskCrash';
import type { TaskPhase } from './TaskPhase';

/** Progress of a task. Only `JobProgress` changes it. */
export interface TaskProgress {
  readonly phase: TaskPhase;
  /** Number of the newest run; 0 before the first. Never decreases. */
  readonly runNumber: number;
  /** Number of failed runs. */
  readonly failureCount: number;
  /** Endpoint of the newest run; empty before the first. */
  readonly endpoint: EndpointIncarnation;
  /** Newest checkpoint; empty for none and for a done task. */
  readonly checkpoint: string;
  /** Confirmed crashes of endpoints that ran the task, which are put down to the task. */
  readonly crashes: readonly TaskCrash[];
  /** Ends of endpoints that ran the task, and may have been crashes that it caused. Kept until they are confirmed or refuted. */
  readonly unconfirmedCrashes: readonly TaskCrash[];
}
