import { formatError } from '../common/formatError';
import type { LineFields } from './LineFields';

/** Longest line whose fields are written as they are. */
const MAX_LINE_LENGTH = 32_768;
/** Longest text of a field of a longer line. */
const MAX_FIELD_LENGTH = 500;
const MAX_FIELDS = 40;

/** Returns a value as text, or why it has none. */
const formatValue = (value: unknown): string => {
  try {
    return typeof value === 'string' ? value : (JSON.stringify(value) ?? '');
  } catch (thrown) {
    return formatError(thrown);
  }
};

const toShortFields = (entry: LineFields): LineFields => {
  const fields = Object.entries(entry)
    .slice(0, MAX_FIELDS)
    .map(([name, value]) => [name.slice(0, MAX_FIELD_LENGTH), formatValue(value).slice(0, MAX_FIELD_LENGTH)]);
  return { ...(Object.fromEntries(fields) as LineFields), isShortened: true };
};

/** Formats a log line as JSON with a newline. Fields of a line that is too long, or can't be formatted, are shortened texts. Never throws. */
export const formatLine = (entry: LineFields): string => {
  try {
    const text = JSON.stringify(entry);
    if (text.length <= MAX_LINE_LENGTH) {
      return `${text}\n`;
    }
  } catch {
    // The shortened line names the error in the field that has caused it.
  }
  return `${JSON.stringify(toShortFields(entry))}\n`;
};
