import type { EndpointIncarnation } from './EndpointIncarnation';
import type { TaskCrash } from './TaskCrash';
import type { TaskPhase } from './TaskPhase';

/** Progress of one task. Changed only by `JobProgress`. */
export interface TaskProgress {
  readonly phase: TaskPhase;
  /** Number of the newest run; 0 before the first. Never falls. */
  readonly run: number;
  /** Runs that ended in failure. */
  readonly failures: number;
  /** Where the newest run was placed; empty before the first. */
  readonly endpoint: EndpointIncarnation;
  /** Newest checkpoint; empty for none. */
  readonly checkpoint: string;
  /** Endpoints that ended under the task, since it last worked for a while. */
  readonly crashes: readonly TaskCrash[];
  /** Endpoints that fell silent for good under the task, and count only once they are known to have ended: its run was none of the likeliest. */
  readonly doubts: readonly TaskCrash[];
}
