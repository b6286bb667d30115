import type { LogLine } from './LogLine';
import { parseLogLine } from './parseLogLine';

/** Parts whose lines concern every job while it lives: who leads, whether the log answers, and which lines are missing. */
const SHARED_PARTS = new Set(['leadership', 'serve', 'sight']);

const readEndpoints = ({ endpoint, placed = [], rows = [] }: LogLine): readonly string[] => [
  ...(endpoint === undefined ? [] : [endpoint]),
  ...placed.map((row) => row.endpoint),
  ...rows.flatMap((row) => row.endpoint ?? []),
];

/** A line with rows, with only the rows about the job. */
const toOwnRows = (line: LogLine, job: string): LogLine => {
  const rows = line.rows?.filter((row) => row.job === job);
  return rows === undefined || rows.length === 0 ? line : { ...line, rows };
};

const isAbout = (line: LogLine, job: string): boolean =>
  line.job === job ||
  line.task?.startsWith(`${job}.`) === true ||
  line.rows?.some((row) => row.job === job) === true;

/**
 * Gives the lines that tell what happened to a job, in order of time: its own, those of the endpoints it ran on, and changes of
 * leadership and of the log's reach, and what was left out of the logs, between its first line and its last.
 */
export const readJobStory = (texts: Iterable<string>, job: string): readonly LogLine[] => {
  const lines = [...texts].map(parseLogLine).filter((line) => line !== undefined);
  const own = lines.filter((line) => isAbout(line, job)).map((line) => toOwnRows(line, job));
  const times = own.map(({ time }) => time).sort();
  const [first, last] = [times[0], times[times.length - 1]];
  if (first === undefined || last === undefined) {
    return [];
  }
  const endpoints = new Set(own.flatMap(readEndpoints));
  const around = lines.filter((line) => {
    const isWithin = line.time >= first && line.time <= last;
    const isEndpoint = line.job === undefined && line.endpoint !== undefined && endpoints.has(line.endpoint);
    return isWithin && (isEndpoint || SHARED_PARTS.has(line.part));
  });
  return [...new Set([...own, ...around])].sort((left, right) => (left.time < right.time ? -1 : 1));
};
