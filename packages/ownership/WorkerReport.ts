import type { Demand } from '../table/Demand';

/** The platform's report of what runs on a worker. */
export interface WorkerReport {
  /** Upper bound of the report's age when the platform answered, in milliseconds. */
  readonly ageMs: number;
  readonly tasks: readonly {
    readonly task: string;
    readonly need: Demand;
    /** The task's lease ends within this time, in milliseconds. */
    readonly endsWithinMs: number;
  }[];
}
