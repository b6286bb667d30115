import { readSettings } from '../settings/readSettings';
import type { Settings } from '../settings/Settings';
import type { CommandInput } from './CommandInput';
import { writeError } from './writeError';

/** Reads the settings file of `--settings`. Prints all problems and returns undefined when there are any. */
export const readCheckedSettings = (input: CommandInput): Settings | undefined => {
  const file = input.values['settings'];
  if (typeof file !== 'string') {
    writeError('--settings FILE is required.');
    return undefined;
  }
  const settings = readSettings(file);
  if (settings.ok) {
    return settings.value;
  }
  for (const problem of settings.error) {
    const place = problem.path === '' ? '' : ` ${problem.path}`;
    writeError(`${file}:${problem.line}:${place}: ${problem.expected}`);
  }
  return undefined;
};
