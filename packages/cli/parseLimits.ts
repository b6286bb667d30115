import type { Result } from '../common/Result';
import { computeListenerLimits } from '../gateway/computeListenerLimits';
import type { ListenerLimits } from '../gateway/ListenerLimits';
import type { ListenerResources } from '../gateway/ListenerResources';
import type { CommandInput } from './CommandInput';
import type { LimitOption } from './LimitOption';
import { limitOptions } from './limitOptions';

/** Parses the options for the limits of the listener for callers, with defaults by the box's resources. The error lists all problems. */
export const parseLimits = (
  values: CommandInput['values'],
  resources: ListenerResources,
): Result<ListenerLimits, readonly string[]> => {
  const problems: string[] = [];
  const limits: Record<string, number> = { ...computeListenerLimits(resources, 'callers') };
  for (const [limit, { name, min }] of Object.entries<LimitOption>(limitOptions)) {
    const text = values[name];
    if (text === undefined) {
      continue;
    }
    const value = Number(text);
    if (Number.isSafeInteger(value) && value >= min) {
      limits[limit] = value;
    } else {
      problems.push(`--${name}: expected a whole number of at least ${min}.`);
    }
  }
  const { maxConnections = 0 } = limits;
  if (maxConnections > resources.maxDescriptors) {
    problems.push(
      `--${limitOptions.maxConnections.name}: expected at most the ${resources.maxDescriptors} descriptors of the settings.`,
    );
  }
  // Each key is a limit, and each value a number.
  return problems.length > 0
    ? { ok: false, error: problems }
    : { ok: true, value: limits as unknown as ListenerLimits };
};
