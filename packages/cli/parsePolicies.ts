import type { Result } from '../common/Result';
import type { ServePolicies } from '../serve/ServePolicies';
import type { CommandInput } from './CommandInput';
import { parseChoice } from './parseChoice';
import type { PolicyOption } from './PolicyOption';
import { policyOptions } from './policyOptions';

/** Parses the policy options. The error lists all problems. */
export const parsePolicies = (values: CommandInput['values']): Result<ServePolicies, readonly string[]> => {
  const problems: string[] = [];
  const policies: Record<string, string> = {};
  for (const [setting, option] of Object.entries<PolicyOption<string>>(policyOptions)) {
    const { name, choices, defaultChoice } = option;
    const choice = parseChoice(choices, values[name], defaultChoice);
    if (choice === undefined) {
      problems.push(`--${name}: expected ${Object.keys(choices).join(' or ')}.`);
    } else {
      policies[setting] = choice;
    }
  }
  // Each value is a key of the choices of its own setting.
  return problems.length > 0
    ? { ok: false, error: problems }
    : { ok: true, value: policies as unknown as ServePolicies };
};
