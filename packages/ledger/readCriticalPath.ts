import type { JobAccount } from './JobAccount';
import type { LedgerCause } from './LedgerCause';
import type { LedgerSpan } from './LedgerSpan';
import type { RunAccount } from './RunAccount';
import { toRunName } from './toRunName';
import type { WaitNote } from './WaitNote';

/** Waits before a placement, the one nearest to it first. */
const WAITS: readonly LedgerCause[] = ['pause', 'limit', 'room', 'answer', 'turn', 'round'];
/** The line of an end may come so much later than that of what it made possible: both are written in one turn. */
const SAME_TURN_MS = 2;
/** A job's end is noted with the end of its last run, or with the leader's next look at the time: after more, the line of a run's end is missing. */
const LONGEST_NOTED_MS = 150;

/** Builds the path from its end back to its beginning; spans may not overlap, so each ends where the later one begins. */
class PathBuilder {
  readonly spans: LedgerSpan[] = [];

  constructor(
    private at: number,
    private readonly beginsAt: number,
  ) {}

  readAt(): number {
    return this.at;
  }

  /** Gives the time from `from` until what is known already to a cause. */
  recordSpan(cause: LedgerCause, from: number, run = ''): void {
    const start = Math.max(this.beginsAt, Math.min(from, this.at));
    if (start < this.at) {
      this.spans.unshift({ cause, from: start, to: this.at, run });
      this.at = start;
    }
  }
}

const toRunCause = ({ outcome, why }: RunAccount): LedgerCause => {
  if (outcome === 'done' || outcome === 'failed') {
    return outcome === 'done' ? 'running' : 'failed';
  }
  return why === '' ? 'lost' : 'stopped';
};

/** The run of the same task before this one; undefined for the first, and where its end has no line. */
const readEarlierTry = (runs: Iterable<RunAccount>, later: RunAccount): RunAccount | undefined => {
  let earlier: RunAccount | undefined;
  for (const run of runs) {
    const isEarlier = run.task === later.task && run.run < later.run && run.endedAt !== undefined;
    if (isEarlier && run.run > (earlier?.run ?? 0)) {
      earlier = run;
    }
  }
  return earlier;
};

const toStep = ({ task }: RunAccount): string => task.slice(0, task.lastIndexOf('.'));

/** Tasks of the same step that were placed just when the wait of others was counted anew. */
const readEarlierBatch = (
  runs: Iterable<RunAccount>,
  later: RunAccount,
  at: number,
): RunAccount | undefined => {
  for (const run of runs) {
    const isAtOnce = Math.abs(run.placedAt - at) <= SAME_TURN_MS && run.placedAt < later.placedAt;
    if (isAtOnce && toStep(run) === toStep(later)) {
      return run;
    }
  }
  return undefined;
};

/** Gives the time before `at` to what was waited for until then; returns when that began. */
const recordTimes = (
  path: PathBuilder,
  at: number,
  waits: RunAccount['waits'],
  notBefore: number,
  run = '',
): number => {
  let from = at;
  for (const cause of WAITS) {
    from -= waits[cause] ?? 0;
    path.recordSpan(cause, Math.max(from, notBefore), run);
  }
  return from;
};

/**
 * What a run's task waited for before it was placed, at the longest back to a time. Where tasks of a step are placed in turns, each turn tells only what was
 * waited since the one before.
 */
const recordWaits = (
  path: PathBuilder,
  run: RunAccount,
  runs: readonly RunAccount[],
  notBefore: number,
): void => {
  const name = toRunName(run);
  let batch: RunAccount | undefined = run;
  while (batch !== undefined) {
    const from = recordTimes(path, batch.placedAt, batch.waits, notBefore, name);
    batch = readEarlierBatch(runs, batch, from);
  }
};

const recordRun = (path: PathBuilder, account: RunAccount): void => {
  const name = toRunName(account);
  const recordedAt = account.placedAt + account.recordMs;
  path.recordSpan(toRunCause(account), recordedAt + account.startMs, name);
  path.recordSpan('start', recordedAt, name);
  path.recordSpan('record', account.placedAt, name);
};

/** The run that ended last before a time: what happened next had to wait for it. */
const readLastEnded = (runs: readonly RunAccount[], before: number): RunAccount | undefined => {
  let last: RunAccount | undefined;
  for (const run of runs) {
    const isEarlier =
      run.endedAt !== undefined && run.endedAt <= before + SAME_TURN_MS && run.placedAt < before;
    if (isEarlier && (last?.endedAt ?? -Infinity) < run.endedAt!) {
      last = run;
    }
  }
  return last;
};

const readLastNote = ({ notes }: JobAccount, from: number, to: number): WaitNote | undefined =>
  notes.findLast(({ at }) => at > from && at <= to + SAME_TURN_MS);

/** Time of which no run's line tells: by what leaders told of the wait while it went on, and by the change of leader that ended their telling. */
const recordGap = (
  path: PathBuilder,
  account: JobAccount,
  from: number,
  { otherwise = 'unknown', run = '' }: { readonly otherwise?: LedgerCause; readonly run?: string } = {},
): void => {
  const recordPiece = (pieceFrom: number): void => {
    const isTakenOver = account.takeOvers.some((at) => at > pieceFrom && at <= path.readAt());
    path.recordSpan(isTakenOver ? 'leader' : otherwise, pieceFrom, run);
  };
  let note = readLastNote(account, from, path.readAt());
  while (note !== undefined) {
    recordPiece(note.at);
    recordTimes(path, note.at, note.waits, from, run);
    note = readLastNote(account, from, path.readAt() - 2 * SAME_TURN_MS);
  }
  recordPiece(from);
};

/**
 * The chain of what a job that has ended waited for, from its acceptance to its end, without gaps: of tasks that ran side by side
 * only the one on which the rest waited counts.
 */
export const readCriticalPath = (account: JobAccount): readonly LedgerSpan[] => {
  if (account.endedAt === undefined) {
    return [];
  }
  const beginsAt = account.acceptedAt - account.acceptMs;
  const path = new PathBuilder(account.endedAt, beginsAt);
  const open = new Set(account.runs.values());
  let run = readLastEnded([...open], path.readAt());
  const lastEndedAt = run?.endedAt ?? account.endedAt;
  if (account.endedAt - lastEndedAt <= LONGEST_NOTED_MS) {
    path.recordSpan('noted', lastEndedAt);
  }
  while (run !== undefined) {
    open.delete(run);
    recordGap(path, account, run.endedAt!);
    const earlier = readEarlierTry(open, run);
    recordRun(path, run);
    recordWaits(path, run, [...account.runs.values()], earlier?.endedAt ?? -Infinity);
    const retriedFrom = earlier?.endedAt ?? path.readAt();
    recordGap(path, account, retriedFrom, { otherwise: 'retry', run: toRunName(run) });
    run = earlier ?? readLastEnded([...open], path.readAt());
  }
  recordGap(path, account, account.takenInAt ?? account.acceptedAt);
  path.recordSpan('handOver', account.acceptedAt);
  path.recordSpan('accept', beginsAt);
  return path.spans;
};
