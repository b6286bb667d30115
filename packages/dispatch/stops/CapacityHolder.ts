import type { TaskDemand } from '../../jobs/TaskDemand';

/** Capacity that an active run takes on its endpoint, and the time until it is freed. */
export interface CapacityHolder {
  readonly demand: TaskDemand;
  /** Estimated time until the run ends, in milliseconds; Infinity for a long-running one. */
  readonly remainingMs: number;
}
