import type { WaitingStep } from './WaitingStep';

/** Returns `JOB.REPETITION.STEP` of a step, its name in requests to the advice service and in log lines. */
export const toStepName = ({
  job,
  repetition,
  step,
}: Pick<WaitingStep, 'job' | 'repetition' | 'step'>): string => `${job.definition.id}.${repetition}.${step}`;
