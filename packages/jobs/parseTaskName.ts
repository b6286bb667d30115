import { toId } from '../common/toId';
import type { JobId } from './JobId';
import type { TaskAddress } from './TaskAddress';

interface ParsedTaskName {
  readonly job: JobId;
  readonly address: TaskAddress;
}

/** Reads a task's name back; undefined when it is none. */
export const parseTaskName = (name: string): ParsedTaskName | undefined => {
  const parts = name.split('.');
  const [job, ...places] = parts;
  const [time, step, index] = places.map(Number);
  const isWhole = [time, step, index].every((place) => Number.isInteger(place));
  if (job === undefined || parts.length !== 4 || !isWhole) {
    return undefined;
  }
  return { job: toId<JobId>(job), address: { time: time!, step: step!, index: index! } };
};
