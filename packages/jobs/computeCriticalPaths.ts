import type { JobStep } from './JobStep';
import { computeTaskWorkMs } from './computeTaskWorkMs';

/**
 * Computes the length of the critical path from the start of each step to the end of the job, in milliseconds of estimated work, by the
 * index of the step. The largest is that of the whole job.
 */
export const computeCriticalPaths = (steps: readonly JobStep[]): readonly number[] => {
  const paths = steps.map(computeTaskWorkMs);
  // Steps depend only on earlier ones: in reverse order, the paths of all dependents are final.
  for (const [number, { dependsOn }] of [...steps.entries()].reverse()) {
    for (const earlier of dependsOn) {
      paths[earlier] = Math.max(paths[earlier]!, computeTaskWorkMs(steps[earlier]!) + paths[number]!);
    }
  }
  return paths;
};
