import { resourceMath } from '../jobs/resourceMath';
import type { JobStep } from '../jobs/JobStep';
import type { TaskDemand } from '../jobs/TaskDemand';

const DIMENSIONS = ['cpuMillis', 'memoryMb', 'accelerators'] as const satisfies readonly (keyof TaskDemand)[];

/** Returns how many tasks of one demand fit into subject is left of a limit; Infinity when nothing limits them. */
const countFittingTasks = (limit: TaskDemand, used: TaskDemand, demand: TaskDemand): number => {
  let count = Infinity;
  for (const dimension of DIMENSIONS) {
    if (limit[dimension] > 0 && demand[dimension] > 0) {
      const left = limit[dimension] - used[dimension];
      count = Math.min(count, Math.max(0, Math.floor(left / demand[dimension])));
    }
  }
  return count;
};

/** Returns why steps could never run under a limit, even with nothing else running; undefined when they could. */
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

/** Arithmetic on the limits of customers. 0 means no limit in a dimension. */
export const customerLimits = { countFittingTasks, checkSteps } as const;
