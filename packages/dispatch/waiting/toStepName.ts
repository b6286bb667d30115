import type { WaitingStep } from './WaitingStep';

/** Returns the name of a step of a job, `JOB.REPETITION.STEP`, as used by the advice service and in log lines. */
export const toStepName = ({
  job,
  repetition,
  step,
}: Pick<WaitingStep, 'job' | 'repetition' | 'step'>): string => `${job.definition.id}.${repetition}.${step}`;
