import type { PolicyOption } from './PolicyOption';

/** Formats the help text of a policy option: what it decides, and its values with the default marked. */
export const formatPolicyHelp = ({ choices, defaultChoice, help }: PolicyOption<string>): string => {
  const labels = Object.keys(choices).map((choice) =>
    choice === defaultChoice ? `${choice} (default)` : choice,
  );
  return `${help}: ${labels.join(', ')}`;
};
