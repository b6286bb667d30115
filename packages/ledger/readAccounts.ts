import { z } from 'zod';
import type { LogLine } from '../timeline/LogLine';
import { parseLogLine } from '../timeline/parseLogLine';
import type { JobAccount } from './JobAccount';
import type { RunAccount } from './RunAccount';

type Accounts = Map<string, JobAccount>;
type LineHandler = (accounts: Accounts, line: LogLine, at: number) => void;

const acceptedSchema = z.object({ job: z.string(), queue: z.string(), tookMs: z.number() });
const jobSchema = z.object({ job: z.string() });
const jobEndedSchema = z.object({ job: z.string(), ending: z.string() });
const placedSchema = z.object({
  job: z.string(),
  waits: z.record(z.string(), z.number()),
  placed: z.array(z.object({ task: z.string(), run: z.number() })),
});
const runEndedSchema = z.object({
  job: z.string(),
  task: z.string(),
  run: z.number(),
  outcome: z.string(),
  recordMs: z.number().optional(),
  startMs: z.number().optional(),
});

const toRunKey = ({ task, run }: { readonly task: string; readonly run: number }): string => `${task}#${run}`;

const handleAccepted: LineHandler = (accounts, line, at) => {
  const parsed = acceptedSchema.safeParse(line).data;
  if (parsed === undefined || accounts.has(parsed.job)) {
    return;
  }
  const { job, queue, tookMs } = parsed;
  const open = { takenInAt: undefined, endedAt: undefined, ending: '', runs: new Map<string, RunAccount>() };
  accounts.set(job, { job, queue, acceptedAt: at, acceptMs: tookMs, ...open });
};

const handleTakenIn: LineHandler = (accounts, line, at) => {
  const account = accounts.get(jobSchema.safeParse(line).data?.job ?? '');
  if (account !== undefined) {
    account.takenInAt ??= at;
  }
};

const handlePlaced: LineHandler = (accounts, line, at) => {
  const parsed = placedSchema.safeParse(line).data;
  const account = accounts.get(parsed?.job ?? '');
  if (parsed === undefined || account === undefined) {
    return;
  }
  for (const { task, run } of parsed.placed) {
    const open = { endedAt: undefined, outcome: '', recordMs: 0, startMs: 0 };
    account.runs.set(toRunKey({ task, run }), { task, run, placedAt: at, waits: parsed.waits, ...open });
  }
};

const handleRunEnded: LineHandler = (accounts, line, at) => {
  const parsed = runEndedSchema.safeParse(line).data;
  const run = parsed && accounts.get(parsed.job)?.runs.get(toRunKey(parsed));
  if (parsed === undefined || run === undefined) {
    return;
  }
  run.endedAt = at;
  run.outcome = parsed.outcome;
  run.recordMs = parsed.recordMs ?? 0;
  run.startMs = parsed.startMs ?? 0;
};

const handleJobEnded: LineHandler = (accounts, line, at) => {
  const parsed = jobEndedSchema.safeParse(line).data;
  const account = accounts.get(parsed?.job ?? '');
  if (parsed !== undefined && account !== undefined) {
    account.endedAt ??= at;
    account.ending = parsed.ending;
  }
};

/** Lines that tell of a job's time, by their sentence. */
const HANDLERS: Readonly<Record<string, LineHandler>> = {
  'Job accepted.': handleAccepted,
  'Job taken in.': handleTakenIn,
  'Tasks placed.': handlePlaced,
  'Run ended.': handleRunEnded,
  'Job ended.': handleJobEnded,
};

/** Folds the lines of all boxes' logs into one account a job, in the order in which the jobs were accepted. */
export const readAccounts = (texts: Iterable<string>): readonly JobAccount[] => {
  const lines: { readonly line: LogLine; readonly at: number }[] = [];
  for (const text of texts) {
    const line = parseLogLine(text);
    if (line !== undefined && HANDLERS[line.message] !== undefined) {
      lines.push({ line, at: Date.parse(line.time) });
    }
  }
  // Clocks of boxes differ by milliseconds: a job's acceptance must come before what the leader says of it.
  const toRank = ({ line }: { readonly line: LogLine }): number => (line.message === 'Job accepted.' ? 0 : 1);
  lines.sort((left, right) => toRank(left) - toRank(right) || left.at - right.at);
  const accounts: Accounts = new Map();
  for (const { line, at } of lines) {
    HANDLERS[line.message]?.(accounts, line, at);
  }
  return [...accounts.values()];
};
