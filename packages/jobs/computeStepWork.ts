import type { JobStep } from './JobStep';

/** Estimated work of one task of a step in milliseconds; steps that run on have no end to wait for. */
export const computeStepWork = ({ isLongRunning, estimatedMs }: JobStep): number =>
  isLongRunning ? 0 : estimatedMs;
