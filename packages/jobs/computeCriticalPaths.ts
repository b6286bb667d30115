import type { JobStep } from './JobStep';
import { computeStepWork } from './computeStepWork';

/**
 * Computes the critical path from the start of each step to the end of the job, by the index of the step: its estimated work in milliseconds.
 * The largest is that of the whole job.
 */
export const computeCriticalPaths = (steps: readonly JobStep[]): readonly number[] => {
  const paths = steps.map(computeStepWork);
  // Steps depend only on earlier ones: in reverse order, the paths of all dependents are final.
  for (const [number, { dependsOn }] of [...steps.entries()].reverse()) {
    for (const earlier of dependsOn) {
      paths[earlier] = Math.max(paths[earlier]!, computeStepWork(steps[earlier]!) + paths[number]!);
    }
  }
  return paths;
};
