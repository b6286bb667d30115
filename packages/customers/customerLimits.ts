import { resourceMath } from '../jobs/resourceMath';
import type { JobStep } from '../jobs/JobStep';
import type { TaskDemand } from '../jobs/TaskDemand';

const RESOURCES = ['cpuMillis', 'memoryMb', 'accelerators'] as const satisfies readonly (keyof TaskDemand)[];

/** Returns how many tasks of one demand fit into the unused part of a limit; Infinity when no dimension that they need is limited. */
const countFittingTasks = (limit: TaskDemand, used: TaskDemand, demand: TaskDemand): number => {
  let count = Infinity;
  for (const dimension of RESOURCES) {
    if (limit[dimension] > 0 && demand[dimension] > 0) {
      const left = limit[dimension] - used[dimension];
      count = Math.min(count, Math.max(0, Math.floor(left / demand[dimension])));
    }
  }
  return count;
};

/**
 * Returns why a step could never run under a limit, even with nothing else running: one of its tasks, or its whole gang, exceeds it.
 * Returns undefined when all could.
 */
const checkSteps = (steps: readonly JobStep[], limit: TaskDemand): string | undefined => {
  for (const [number, step] of steps.entries()) {
    const needed = step.isGang ? step.count : 1;
    if (countFittingTasks(limit, resourceMath.ZERO, step.demand) < needed) {
      const subject = step.isGang ? `a gang of ${step.count}` : 'one task';
      return `steps[${number}]: ${subject} is more than the customer may ever have running`;
    }
  }
  return undefined;
};

/** Checks of demands against the limits of customers. 0 means no limit in a dimension. */
export const customerLimits = { countFittingTasks, checkSteps } as const;
