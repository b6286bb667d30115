import { parseJson } from '../common/parseJson';
import type { LogLine } from './LogLine';

/**
 * Parses a JSON log line, after any prefix of a log collector. Returns undefined for text without an object that has a time and a message.
 */
export const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{"time"');
  const value = start < 0 ? undefined : (parseJson(text.slice(start)) as Partial<LogLine> | undefined);
  const isLine = typeof value?.time === 'string' && typeof value.message === 'string';
  return isLine ? (value as LogLine) : undefined;
};
