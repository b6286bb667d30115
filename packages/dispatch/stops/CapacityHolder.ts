import type { TaskDemand } from '../../jobs/TaskDemand';

/** Capacity held by a run, and for how long. */
export interface CapacityHolder {
  readonly demand: TaskDemand;
  /** Estimated time until the run ends, in milliseconds; Infinity for one that never ends. */
  readonly remainingMs: number;
}
