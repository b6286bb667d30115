import type { TaskDemand } from '../../jobs/TaskDemand';

/** A run as far as the room matters that it takes. */
export interface RoomHolder {
  readonly demand: TaskDemand;
  /** Time until it is expected to end by itself, in milliseconds. */
  readonly remainingMs: number;
}
