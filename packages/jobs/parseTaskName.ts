import { toId } from '../common/toId';
import type { JobId } from './JobId';
import type { TaskAddress } from './TaskAddress';

interface ParsedTaskName {
  readonly job: JobId;
  readonly address: TaskAddress;
}

/** Parses the name of a task; undefined when it is malformed. */
export const parseTaskName = (name: string): ParsedTaskName | undefined => {
  const parts = name.split('.');
  const [job, ...indexes] = parts;
  const [repetition, step, index] = indexes.map(Number);
  const isValid = [repetition, step, index].every((part) => Number.isInteger(part));
  if (job === undefined || parts.length !== 4 || !isValid) {
    return undefined;
  }
  return { job: toId<JobId>(job), address: { repetition: repetition!, step: step!, index: index! } };
};
