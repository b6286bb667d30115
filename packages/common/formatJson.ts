import { formatError } from './formatError';
import type { Result } from './Result';

/** Formats a value as JSON; the error says why that fails, as it does for values of other processes that are nested too deeply. */
export const formatJson = (value: unknown): Result<string, string> => {
  try {
    return { ok: true, value: JSON.stringify(value) ?? 'null' };
  } catch (thrown) {
    return { ok: false, error: formatError(thrown) };
  }
};
