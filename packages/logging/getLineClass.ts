import type { LineClass } from './LineClass';
import type { LineFields } from './LineFields';
import { lineClasses } from './lineClasses';
import type { LineLevel } from './LineLevel';
import { findLineJob } from './findLineJob';

/** The class of a line, before it is known whether its job is chosen. */
export const getLineClass = (
  level: LineLevel,
  sentence: string,
  fields: LineFields | undefined,
): Exclude<LineClass, 'rest'> => {
  if (level === 'error') {
    return 'error';
  }
  const byDefault = findLineJob(fields) === undefined ? 'vital' : 'story';
  return level === 'warn' ? 'vital' : (lineClasses[sentence] ?? byDefault);
};
