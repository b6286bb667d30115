import type { LineClass } from './LineClass';
import type { LineFields } from './LineFields';
import { lineClasses } from './lineClasses';
import type { LineLevel } from './LineLevel';
import { findLineJob } from './findLineJob';

/**
 * Returns the class of a line before sampling: `error` for an error, `vital` for a warning, and for an info line the class by its message
 * and by whether it names a job.
 */
export const getLineClass = (
  level: LineLevel,
  message: string,
  fields: LineFields | undefined,
): Exclude<LineClass, 'rest'> => {
  if (level === 'error') {
    return 'error';
  }
  const defaultClass = findLineJob(fields) === undefined ? 'vital' : 'story';
  return level === 'warn' ? 'vital' : (lineClasses[message] ?? defaultClass);
};
