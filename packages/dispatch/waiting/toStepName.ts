import type { WaitingStep } from './WaitingStep';

/** Returns the name of a step of a job, `JOB.TIME.STEP`, as used by the advice service and in log lines. */
export const toStepName = ({ job, time, step }: Pick<WaitingStep, 'job' | 'time' | 'step'>): string =>
  `${job.definition.id}.${time}.${step}`;
