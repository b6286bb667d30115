import type { CommandInput } from './CommandInput';
import { OperatorClient } from './OperatorClient';
import { readCheckedSettings } from './readCheckedSettings';

/** Creates the client that `--settings` and `--box` name; undefined, with the problems printed, when they are wrong. */
export const createOperatorClient = (input: CommandInput): OperatorClient | undefined => {
  const settings = readCheckedSettings(input);
  const box = input.values['box'];
  return settings === undefined
    ? undefined
    : new OperatorClient(settings, typeof box === 'string' ? box : undefined);
};
