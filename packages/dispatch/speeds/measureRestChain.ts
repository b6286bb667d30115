import type { JobStep } from '../../jobs/JobStep';

/** Longest chain of estimated work after a step, in milliseconds. */
export const measureRestChain = (steps: readonly JobStep[], step: number): number => {
  let longestMs = 0;
  for (const [number, { dependsOn, estimatedMs, isLongRunning }] of steps.entries()) {
    // Steps name only earlier ones.
    if (number > step && dependsOn.includes(step)) {
      longestMs = Math.max(longestMs, (isLongRunning ? 0 : estimatedMs) + measureRestChain(steps, number));
    }
  }
  return longestMs;
};
