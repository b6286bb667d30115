import type { TaskDemand } from '../jobs/TaskDemand';

const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const satisfies readonly (keyof TaskDemand)[];

/** Returns the largest share of the capacity that a demand takes in any dimension; 0 without capacity. */
export const computeDominantShare = (demand: TaskDemand, capacity: TaskDemand): number =>
  Math.max(
    ...RESOURCES.map((dimension) => (capacity[dimension] > 0 ? demand[dimension] / capacity[dimension] : 0)),
  );
