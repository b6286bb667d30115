import type { CommandInput } from './CommandInput';
import { OperatorClient } from './OperatorClient';
import { readCheckedSettings } from './readCheckedSettings';

/** Creates a client for `--settings` and `--box`. Prints the problems and returns undefined when the settings are invalid. */
export const createOperatorClient = (input: CommandInput): OperatorClient | undefined => {
  const settings = readCheckedSettings(input);
  const box = input.values['box'];
  return settings === undefined
    ? undefined
    : new OperatorClient(settings, typeof box === 'string' ? box : undefined);
};
