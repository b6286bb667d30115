import { readFileSync } from 'node:fs';
import { formatError } from '../common/formatError';
import { writeError } from './writeError';

/** Reads the lines of log files. Prints an error and returns undefined when a file cannot be read. */
export const readLogFiles = (files: readonly string[]): readonly string[] | undefined => {
  const lines: string[] = [];
  for (const file of files) {
    try {
      for (const line of readFileSync(file, 'utf8').split('\n')) {
        lines.push(line);
      }
    } catch (thrown) {
      writeError(`${file}: ${formatError(thrown)}`);
      return undefined;
    }
  }
  return lines;
};
