import { parseJson } from '../common/parseJson';

/** One line of a process's log. */
interface LogLine {
  readonly time: string;
  readonly box: string;
  readonly part: string;
  readonly message: string;
  readonly job?: string;
  readonly task?: string;
  readonly endpoint?: string;
}

/** Parts whose lines concern every job while it lives: who leads, and whether the log answers. */
const SHARED_PARTS = new Set(['leadership', 'serve']);

const parseLine = (text: string): LogLine | undefined => {
  // Collectors may put a time or a name before the line.
  const start = text.indexOf('{"time"');
  const value = start < 0 ? undefined : (parseJson(text.slice(start)) as Partial<LogLine> | undefined);
  const isLine = typeof value?.time === 'string' && typeof value.message === 'string';
  return isLine ? (value as LogLine) : undefined;
};

/**
 * Gives the lines that tell what happened to a job, in order of time: its own, those of the endpoints it ran on, and changes of
 * leadership and of the log's reach, between its first line and its last.
 */
export const readJobStory = (texts: Iterable<string>, job: string): readonly LogLine[] => {
  const lines = [...texts].map(parseLine).filter((line) => line !== undefined);
  const own = lines.filter((line) => line.job === job || line.task?.startsWith(`${job}.`) === true);
  const times = own.map(({ time }) => time).sort();
  const [first, last] = [times[0], times[times.length - 1]];
  if (first === undefined || last === undefined) {
    return [];
  }
  const endpoints = new Set(own.map(({ endpoint }) => endpoint).filter((id) => id !== undefined));
  const around = lines.filter((line) => {
    const isWithin = line.time >= first && line.time <= last;
    const isEndpoint = line.job === undefined && line.endpoint !== undefined && endpoints.has(line.endpoint);
    return isWithin && (isEndpoint || SHARED_PARTS.has(line.part));
  });
  return [...new Set([...own, ...around])].sort((left, right) => (left.time < right.time ? -1 : 1));
};
