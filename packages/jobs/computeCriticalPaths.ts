import type { JobStep } from './JobStep';
import { computeStepWork } from './computeStepWork';

/**
 * Longest chain of estimated work from the start of each step to the end of the job, in milliseconds, by the step's number. The largest is that
 * of the whole job.
 */
export const computeCriticalPaths = (steps: readonly JobStep[]): readonly number[] => {
  const remaining = steps.map(computeStepWork);
  // Steps depend on earlier ones only, so that from the last to the first each one's followers are complete.
  for (const [number, { dependsOn }] of [...steps.entries()].reverse()) {
    for (const earlier of dependsOn) {
      remaining[earlier] = Math.max(
        remaining[earlier]!,
        computeStepWork(steps[earlier]!) + remaining[number]!,
      );
    }
  }
  return remaining;
};
