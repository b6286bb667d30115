import type { z } from 'zod';

/** Highest number of problems that are listed. */
const MAX_ISSUES = 5;
/** Longest path of a field; paths consist of names that another process has chosen. */
const MAX_PATH_LENGTH = 100;

/** Returns the paths and messages of the first problems that a schema has found. */
export const formatIssues = ({ issues }: z.ZodError): string => {
  const listed = issues
    .slice(0, MAX_ISSUES)
    .map(({ path, message }) => `${path.join('.').slice(0, MAX_PATH_LENGTH) || 'record'}: ${message}`);
  const others = issues.length - listed.length;
  return [...listed, ...(others > 0 ? [`${others} more`] : [])].join('; ');
};
