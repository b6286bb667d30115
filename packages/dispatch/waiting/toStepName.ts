import type { WaitingStep } from './WaitingStep';

/** Returns the name of a step of a job, `JOB.TIME.STEP`, as used by the advice service and in log lines. */
export const toStepName = ({
  job,
  repetition: time,
  step,
}: Pick<WaitingStep, 'job' | 'repetition' | 'step'>): string => `${job.definition.id}.${time}.${step}`;
