import type { LineFields } from './LineFields';

/** Fields that contain a job id, alone or as the first part of the name of a step or task. */
const JOB_FIELDS = ['job', 'step', 'task'] as const;

/** Returns the id of the job that a line is about; undefined when it names none. */
export const findLineJob = (fields: LineFields | undefined): string | undefined => {
  for (const name of JOB_FIELDS) {
    const value = fields?.[name];
    if (typeof value === 'string' && value !== '') {
      return value.split('.', 1)[0];
    }
  }
  return undefined;
};
