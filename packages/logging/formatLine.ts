import { formatJson } from '../common/formatJson';
import type { LineFields } from './LineFields';

/** Longest line whose fields are written as they are. */
const MAX_LINE_LENGTH = 65_536;
/** Longest field of a longer line; any other becomes its first characters. */
const MAX_FIELD_LENGTH = 500;
/** Highest number of fields of a longer line. */
const MAX_FIELDS = 40;

/** Returns a value that is short and can be formatted as it is, and else the beginning of its text, or of the error. */
const toShortValue = (value: unknown): unknown => {
  const text = formatJson(value);
  if (text.ok && text.value.length <= MAX_FIELD_LENGTH) {
    return value;
  }
  const whole = typeof value === 'string' ? value : text.ok ? text.value : text.error;
  return whole.slice(0, MAX_FIELD_LENGTH);
};

const toShortFields = (entry: LineFields): LineFields => {
  const fields = Object.entries(entry)
    .slice(0, MAX_FIELDS)
    .map(([name, value]) => [name.slice(0, MAX_FIELD_LENGTH), toShortValue(value)] as const);
  return { ...Object.fromEntries(fields), isShortened: true };
};

/** Formats a log line as JSON with a newline. Long fields of a line that is too long, or can't be formatted, are shortened. Never throws. */
export const formatLine = (entry: LineFields): string => {
  const text = formatJson(entry);
  return text.ok && text.value.length <= MAX_LINE_LENGTH
    ? `${text.value}\n`
    : `${JSON.stringify(toShortFields(entry))}\n`;
};
