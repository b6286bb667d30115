import { parseJson } from '../common/parseJson';
import type { LogLine } from './LogLine';

/** Parses one line of a process's log, with or without a prefix that a log collector adds. Returns undefined for any other text. */
export const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{"time"');
  const value = start < 0 ? undefined : (parseJson(text.slice(start)) as Partial<LogLine> | undefined);
  const isLine = typeof value?.time === 'string' && typeof value.message === 'string';
  return isLine ? (value as LogLine) : undefined;
};
