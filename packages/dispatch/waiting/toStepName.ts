import type { WaitingStep } from './WaitingStep';

/** Name of a step of a job: `JOB.TIME.STEP`, as the advice service and the log lines have it. */
export const toStepName = ({ job, time, step }: Pick<WaitingStep, 'job' | 'time' | 'step'>): string =>
  `${job.definition.id}.${time}.${step}`;
