import type { TaskDemand } from '../jobs/TaskDemand';

const DIMENSIONS = ['cpuMillis', 'memoryMb', 'accelerators'] as const satisfies readonly (keyof TaskDemand)[];

/** The part of what there is that some room makes up, in the dimension in which that part is largest; 0 when there is nothing. */
export const computeDominantShare = (room: TaskDemand, capacity: TaskDemand): number =>
  Math.max(
    ...DIMENSIONS.map((dimension) => (capacity[dimension] > 0 ? room[dimension] / capacity[dimension] : 0)),
  );
