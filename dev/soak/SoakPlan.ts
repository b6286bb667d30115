import type { ScheduledTrouble } from './ScheduledTrouble';

/** What one run of the soak does. */
export interface SoakPlan {
  readonly seed: number;
  readonly boxes: number;
  readonly executors: number;
  /** Cores that a box declares; 1 if not given. With few, the leader has other boxes relay its calls to endpoints. */
  readonly coresPerBox?: number;
  /** Time in which things go wrong, in milliseconds. */
  readonly troubledMs: number;
  /** Troubles to play in place of those that the seed gives. */
  readonly schedule?: readonly ScheduledTrouble[];
  /** Directory for the logs of a failed run; undefined to drop them. */
  readonly keptLogs?: string;
}
