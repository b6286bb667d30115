import type { LogLine } from './LogLine';
import { parseLogLine } from './parseLogLine';

/** Components whose lines may concern every job, such as changes of leader and the availability of the log. */
const CLUSTER_WIDE_PARTS = new Set(['leadership', 'serve', 'sight']);

/** Lists the endpoints that a line, its placements and its rows name. */
const listEndpoints = ({ endpoint, placed = [], rows = [] }: LogLine): readonly string[] => [
  ...(endpoint === undefined ? [] : [endpoint]),
  ...placed.map((row) => row.endpoint),
  ...rows.flatMap((row) => row.endpoint ?? []),
];

/** Returns the line without its rows about other jobs; unchanged when no row is about the job. */
const removeRowsOfOtherJobs = (line: LogLine, job: string): LogLine => {
  const rows = line.rows?.filter((row) => row.job === job);
  return rows === undefined || rows.length === 0 ? line : { ...line, rows };
};

/** Returns whether a line, its task or one of its rows names the job. */
const isAboutJob = (line: LogLine, job: string): boolean =>
  line.job === job ||
  line.task?.startsWith(`${job}.`) === true ||
  line.rows?.some((row) => row.job === job) === true;

/**
 * Returns the log lines that explain what happened to a job, in order of time: lines about the job, and between the first and the last of
 * these the lines that name one of its endpoints and no other job, and the lines of cluster-wide components. Returns none for an unknown
 * job.
 */
export const readJobLines = (texts: Iterable<string>, job: string): readonly LogLine[] => {
  const lines = [...texts].map(parseLogLine).filter((line) => line !== undefined);
  const jobLines = lines
    .filter((line) => isAboutJob(line, job))
    .map((line) => removeRowsOfOtherJobs(line, job));
  const times = jobLines.map(({ time }) => time).sort();
  const [first, last] = [times[0], times[times.length - 1]];
  if (first === undefined || last === undefined) {
    return [];
  }
  const endpoints = new Set(jobLines.flatMap(listEndpoints));
  const related = lines.filter((line) => {
    const isWithin = line.time >= first && line.time <= last;
    const isEndpoint = line.job === undefined && line.endpoint !== undefined && endpoints.has(line.endpoint);
    return isWithin && (isEndpoint || CLUSTER_WIDE_PARTS.has(line.part));
  });
  return [...new Set([...jobLines, ...related])].sort((left, right) => (left.time < right.time ? -1 : 1));
};
