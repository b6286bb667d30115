import type { CommandInput } from './CommandInput';
import { OperatorClient } from './OperatorClient';
import { readCheckedSettings } from './readCheckedSettings';

/** Creates a client for the options `--settings` and `--box`. Prints the problems of invalid settings and returns undefined. */
export const createOperatorClient = (input: CommandInput): OperatorClient | undefined => {
  const settings = readCheckedSettings(input);
  const box = input.values['box'];
  return settings === undefined
    ? undefined
    : new OperatorClient(settings, typeof box === 'string' ? box : undefined);
};
