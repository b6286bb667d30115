import type { EndpointIncarnation } from './EndpointIncarnation';
import type { TaskCrash } from './TaskCrash';
import type { TaskPhase } from './TaskPhase';

/** Progress of a task. Only `JobProgress` changes it. */
export interface TaskProgress {
  readonly phase: TaskPhase;
  /** Number of the newest run; 0 before the first. Never decreases. */
  readonly run: number;
  /** Number of failed runs. */
  readonly failures: number;
  /** Endpoint of the newest run; empty before the first. */
  readonly endpoint: EndpointIncarnation;
  /** Newest checkpoint; empty for none. */
  readonly checkpoint: string;
  /** Crashes of endpoints under the task since one of its runs was last past startup. */
  readonly crashes: readonly TaskCrash[];
  /** Unconfirmed crashes: endpoints that became unreachable under the task. They count once the crash is confirmed. */
  readonly unconfirmedCrashes: readonly TaskCrash[];
}
