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
  /** Crashes, not confirmed yet, of endpoints that became unreachable while they ran the task. */
  readonly unconfirmedCrashes: readonly TaskCrash[];
}
