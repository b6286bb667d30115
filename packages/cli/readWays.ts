import type { Result } from '../common/Result';
import type { ServeWays } from '../serve/ServeWays';
import type { CommandInput } from './CommandInput';
import { parseChoice } from './parseChoice';
import type { WayOption } from './WayOption';
import { wayOptions } from './wayOptions';

/** Reads the options that choose ways. On failure gives all problems at once. */
export const readWays = (values: CommandInput['values']): Result<ServeWays, readonly string[]> => {
  const problems: string[] = [];
  const chosen: Record<string, string> = {};
  for (const [way, option] of Object.entries<WayOption<string>>(wayOptions)) {
    const { name, table, defaultChoice } = option;
    const choice = parseChoice(table, values[name], defaultChoice);
    if (choice === undefined) {
      problems.push(`--${name}: expected ${Object.keys(table).join(' or ')}.`);
    } else {
      chosen[way] = choice;
    }
  }
  // Each value comes from the table of its own way.
  return problems.length > 0
    ? { ok: false, error: problems }
    : { ok: true, value: chosen as unknown as ServeWays };
};
