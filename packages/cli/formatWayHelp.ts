import type { WayOption } from './WayOption';

/** One line of help: what the option decides, and its values with the default marked. */
export const formatWayHelp = ({ table, defaultChoice, help }: WayOption<string>): string => {
  const choices = Object.keys(table).map((choice) =>
    choice === defaultChoice ? `${choice} (default)` : choice,
  );
  return `${help}: ${choices.join(', ')}`;
};
