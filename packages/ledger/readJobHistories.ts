import { z } from 'zod';
import type { LogLine } from '../timeline/LogLine';
import { parseLogLine } from '../timeline/parseLogLine';
import type { JobHistory } from './JobHistory';
import type { LedgerCause } from './LedgerCause';
import type { LedgerSpan } from './LedgerSpan';
import { ledgerCauses } from './ledgerCauses';
import type { RunHistory } from './RunHistory';
import { toRunKey } from './toRunKey';
import type { WaitSample } from './WaitSample';

type MutableHistory = JobHistory & { readonly waitSamples: WaitSample[] };
type Histories = Map<string, MutableHistory>;
type LineHandler = (histories: Histories, line: LogLine, at: number, takeOvers: readonly number[]) => void;

const acceptedSchema = z.object({ job: z.string(), queue: z.string(), tookMs: z.number() });
const jobSchema = z.object({ job: z.string() });
const jobEndedSchema = z.object({ job: z.string(), ending: z.string() });
const placedSchema = z.object({
  job: z.string(),
  waits: z.record(z.string(), z.number()),
  placed: z.array(z.object({ task: z.string(), run: z.number(), endpoint: z.string().optional() })),
});
const waitsRowSchema = z.object({ job: z.string(), waits: z.record(z.string(), z.number()) });
/** Accepts a line about the wait of one step, or one with rows about several steps; both become a list of rows. */
const waitsSchema = z.union([
  waitsRowSchema.transform((row) => [row]),
  z.object({ rows: z.array(waitsRowSchema) }).transform(({ rows }) => rows),
]);
const endedLateSchema = z.object({
  job: z.string(),
  queue: z.string(),
  ending: z.string(),
  totalMs: z.number(),
  path: z.array(z.object({ cause: z.string(), ms: z.number(), run: z.string().optional() })),
});
const runEndedSchema = z.object({
  job: z.string(),
  task: z.string(),
  run: z.number(),
  outcome: z.string(),
  how: z.string().optional(),
  why: z.string().optional(),
  recordMs: z.number().optional(),
  startMs: z.number().optional(),
});

const createHistory = (
  fields: Pick<MutableHistory, 'job' | 'queue' | 'acceptedAt' | 'acceptMs' | 'takeOvers'>,
): MutableHistory => ({
  ...fields,
  addedAt: undefined,
  endedAt: undefined,
  ending: '',
  runs: new Map<string, RunHistory>(),
  waitSamples: [],
  loggedPath: undefined,
});

const handleAccepted: LineHandler = (histories, line, at, takeOvers) => {
  const parsed = acceptedSchema.safeParse(line).data;
  if (parsed === undefined || histories.has(parsed.job)) {
    return;
  }
  const { job, queue, tookMs } = parsed;
  histories.set(job, createHistory({ job, queue, acceptedAt: at, acceptMs: tookMs, takeOvers }));
};

const handleAdded: LineHandler = (histories, line, at) => {
  const history = histories.get(jobSchema.safeParse(line).data?.job ?? '');
  if (history !== undefined) {
    history.addedAt ??= at;
  }
};

const handlePlaced: LineHandler = (histories, line, at) => {
  const parsed = placedSchema.safeParse(line).data;
  const history = histories.get(parsed?.job ?? '');
  if (parsed === undefined || history === undefined) {
    return;
  }
  for (const { task, run, endpoint = '' } of parsed.placed) {
    const initial = {
      endedAt: undefined,
      outcome: '',
      reportedEnd: '',
      stopCause: '',
      hall: '',
      recordMs: 0,
      startMs: 0,
    };
    const placed = { task, run, endpoint, placedAt: at, waits: parsed.waits };
    history.runs.set(toRunKey({ task, run }), { ...placed, ...initial });
  }
};

const handleRunEnded: LineHandler = (histories, line, at) => {
  const parsed = runEndedSchema.safeParse(line).data;
  const run = parsed && histories.get(parsed.job)?.runs.get(toRunKey(parsed));
  if (parsed === undefined || run === undefined) {
    return;
  }
  run.endedAt = at;
  run.outcome = parsed.outcome;
  run.reportedEnd = parsed.how ?? '';
  run.stopCause = parsed.why ?? '';
  run.recordMs = parsed.recordMs ?? 0;
  run.startMs = parsed.startMs ?? 0;
};

const handleWaits: LineHandler = (histories, line, at) => {
  for (const { job, waits } of waitsSchema.safeParse(line).data ?? []) {
    histories.get(job)?.waitSamples.push({ at, waits });
  }
};

const handleJobEnded: LineHandler = (histories, line, at) => {
  const parsed = jobEndedSchema.safeParse(line).data;
  const history = histories.get(parsed?.job ?? '');
  if (parsed !== undefined && history !== undefined) {
    // A leader may log an end that it couldn't make durable, so the line of a later leader replaces it.
    history.endedAt = at;
    history.ending = parsed.ending;
  }
};

const isLedgerCause = (text: string): text is LedgerCause => ledgerCauses.some((cause) => cause === text);

/** Converts the rows of a logged path, which hold only durations, to spans, the last of which ends at `endedAt`. */
const toLoggedPath = (
  rows: z.infer<typeof endedLateSchema>['path'],
  endedAt: number,
): readonly LedgerSpan[] => {
  let from = endedAt - rows.reduce((sum, { ms }) => sum + ms, 0);
  return rows.map(({ cause, ms, run = '' }) => {
    const span = { cause: isLedgerCause(cause) ? cause : 'unknown', from, to: from + ms, run };
    from = span.to;
    return span;
  });
};

/** Records the end and the logged path of a late or failed job. Creates its history when no earlier line did. */
const handleEndedLate: LineHandler = (histories, line, at, takeOvers) => {
  const parsed = endedLateSchema.safeParse(line).data;
  if (parsed === undefined) {
    return;
  }
  const { job, queue, ending, totalMs, path } = parsed;
  const history =
    histories.get(job) ?? createHistory({ job, queue, acceptedAt: at - totalMs, acceptMs: 0, takeOvers });
  histories.set(job, history);
  history.endedAt = at;
  history.ending = ending;
  history.loggedPath = toLoggedPath(path, history.endedAt);
};

/** Message of the line that a leader logs when it has taken over. */
const TAKEOVER_MESSAGE = 'Leading.';

/** Handlers of the lines about a job, by their message. */
const LINE_HANDLERS: Readonly<Record<string, LineHandler>> = {
  'Job accepted.': handleAccepted,
  'Job taken in.': handleAdded,
  'Step waits.': handleWaits,
  'Tasks placed.': handlePlaced,
  'Run ended.': handleRunEnded,
  'Job ended.': handleJobEnded,
  'Job ended late.': handleEndedLate,
};

/**
 * Reads the log lines of all boxes into one history per job: first the jobs with a logged acceptance, in order of time, then those known
 * only by the line on their late or failed end. Lines about a job without a history yet are otherwise ignored.
 */
export const readJobHistories = (texts: Iterable<string>): readonly JobHistory[] => {
  const lines: { readonly line: LogLine; readonly at: number }[] = [];
  const takeOvers: number[] = [];
  for (const text of texts) {
    const line = parseLogLine(text);
    if (line?.message === TAKEOVER_MESSAGE) {
      takeOvers.push(Date.parse(line.time));
    } else if (line !== undefined && LINE_HANDLERS[line.message] !== undefined) {
      lines.push({ line, at: Date.parse(line.time) });
    }
  }
  // The clocks of boxes differ, so acceptances are sorted before the lines of leaders whatever their time.
  const toRank = ({ line }: { readonly line: LogLine }): number => (line.message === 'Job accepted.' ? 0 : 1);
  lines.sort((left, right) => toRank(left) - toRank(right) || left.at - right.at);
  takeOvers.sort((left, right) => left - right);
  const histories: Histories = new Map();
  for (const { line, at } of lines) {
    LINE_HANDLERS[line.message]?.(histories, line, at, takeOvers);
  }
  return [...histories.values()];
};
