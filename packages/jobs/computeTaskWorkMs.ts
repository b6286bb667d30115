import type { JobStep } from './JobStep';

/** Returns the estimated run time of one task of a step in milliseconds; 0 for long-running steps, which nothing waits for. */
export const computeTaskWorkMs = ({ isLongRunning, estimatedMs }: JobStep): number =>
  isLongRunning ? 0 : estimatedMs;
