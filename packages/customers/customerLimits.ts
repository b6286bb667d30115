import { resourceMath } from '../jobs/resourceMath';
import type { JobStep } from '../jobs/JobStep';
import type { TaskDemand } from '../jobs/TaskDemand';

const DIMENSIONS = ['cpuMillis', 'memoryMb', 'accelerators'] as const satisfies readonly (keyof TaskDemand)[];

/** Tasks of one demand that fit between what is taken and a limit. */
const countFittingTasks = (limit: TaskDemand, taken: TaskDemand, demand: TaskDemand): number => {
  let count = Infinity;
  for (const dimension of DIMENSIONS) {
    if (limit[dimension] > 0 && demand[dimension] > 0) {
      const left = limit[dimension] - taken[dimension];
      count = Math.min(count, Math.max(0, Math.floor(left / demand[dimension])));
    }
  }
  return count;
};

/** Tells why steps could never run under a limit, even with nothing else running; undefined when they could. */
const checkSteps = (steps: readonly JobStep[], limit: TaskDemand): string | undefined => {
  for (const [number, step] of steps.entries()) {
    const needed = step.isGang ? step.count : 1;
    if (countFittingTasks(limit, resourceMath.NOTHING, step.demand) < needed) {
      const what = step.isGang ? `a gang of ${step.count}` : 'one task';
      return `steps[${number}]: ${what} is more than the customer may ever have running`;
    }
  }
  return undefined;
};

/** Arithmetic on customers' limits, in which 0 means no limit in that dimension. All functions are pure. */
export const customerLimits = { measureFitCount: countFittingTasks, readProblem: checkSteps } as const;
