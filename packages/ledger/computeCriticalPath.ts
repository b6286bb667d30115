import type { JobHistory } from './JobHistory';
import type { LedgerCause } from './LedgerCause';
import type { LedgerSpan } from './LedgerSpan';
import type { RunHistory } from './RunHistory';
import { toRunName } from './toRunName';
import type { WaitSample } from './WaitSample';

/** Causes of waits before a placement, in reverse of the order in which they occur. */
const WAIT_CAUSES: readonly LedgerCause[] = ['pause', 'bound', 'limit', 'room', 'answer', 'turn', 'round'];
/** Maximum difference between the times of lines that a leader writes in the same event loop turn. */
const SAME_TURN_TOLERANCE_MS = 2;
/** Maximum time from the end of the last run until the end of the job is recorded; a longer one means that the line of a run is missing. */
const MAX_END_RECORDING_MS = 150;

/** Builds a critical path backwards from its end. Each new span ends where the earliest one so far starts, so that spans never overlap. */
class PathBuilder {
  readonly spans: LedgerSpan[] = [];

  constructor(
    private start: number,
    private readonly earliestStart: number,
  ) {}

  /** Returns the start of the earliest span so far; the end of the path before the first span. */
  getStart(): number {
    return this.start;
  }

  /**
   * Adds a span in front, from `from` to the current start of the path. A start before the earliest allowed one is cut off, and a span
   * without duration is left out.
   */
  addSpan(cause: LedgerCause, from: number, run = ''): void {
    const start = Math.max(this.earliestStart, Math.min(from, this.start));
    if (start < this.start) {
      this.spans.unshift({ cause, from: start, to: this.start, run });
      this.start = start;
    }
  }
}

/** Returns the cause that the time of a run is attributed to, by its outcome and by whether the leader stopped it. */
const toRunTimeCause = ({ outcome, stopCause }: RunHistory): LedgerCause => {
  if (outcome === 'done' || outcome === 'failed') {
    return outcome === 'done' ? 'running' : 'failed';
  }
  return stopCause === '' ? 'lost' : 'stopped';
};

/** Finds the run of the same task with the highest lower run number that has a logged end; undefined when there is none. */
const findPreviousRun = (runs: Iterable<RunHistory>, later: RunHistory): RunHistory | undefined => {
  let previous: RunHistory | undefined;
  for (const run of runs) {
    const isEarlier = run.task === later.task && run.run < later.run && run.endedAt !== undefined;
    if (isEarlier && run.run > (previous?.run ?? 0)) {
      previous = run;
    }
  }
  return previous;
};

const toStepName = ({ task }: RunHistory): string => task.slice(0, task.lastIndexOf('.'));

/** Finds a run of the same step that was placed at the time `at`, before the later run; undefined when there is none. */
const findEarlierBatch = (
  runs: Iterable<RunHistory>,
  later: RunHistory,
  at: number,
): RunHistory | undefined => {
  for (const run of runs) {
    const isPlacedThen =
      Math.abs(run.placedAt - at) <= SAME_TURN_TOLERANCE_MS && run.placedAt < later.placedAt;
    if (isPlacedThen && toStepName(run) === toStepName(later)) {
      return run;
    }
  }
  return undefined;
};

/** Adds the waits that ended at `at`, cut off before `notBefore`. Returns the time at which the first of them began, not cut off. */
const addWaits = (
  path: PathBuilder,
  at: number,
  waits: RunHistory['waits'],
  notBefore: number,
  run = '',
): number => {
  let from = at;
  for (const cause of WAIT_CAUSES) {
    from -= waits[cause] ?? 0;
    path.addSpan(cause, Math.max(from, notBefore), run);
  }
  return from;
};

/**
 * Adds the waits of a run's task before its placement. When a step is placed in several batches, each batch logs only the wait since the
 * previous one.
 */
const addRunWaits = (
  path: PathBuilder,
  run: RunHistory,
  runs: readonly RunHistory[],
  notBefore: number,
): void => {
  const name = toRunName(run);
  let batch: RunHistory | undefined = run;
  while (batch !== undefined) {
    const from = addWaits(path, batch.placedAt, batch.waits, notBefore, name);
    batch = findEarlierBatch(runs, batch, from);
  }
};

/** Adds the spans of a run: its execution up to the current start of the path, the start command, and the record of the placement. */
const addRun = (path: PathBuilder, run: RunHistory): void => {
  const name = toRunName(run);
  const recordedAt = run.placedAt + run.recordMs;
  path.addSpan(toRunTimeCause(run), recordedAt + run.startMs, name);
  path.addSpan('start', recordedAt, name);
  path.addSpan('record', run.placedAt, name);
};

/** Finds the run that ended last among those placed before a time and ended by then; undefined when there is none. */
const findLastEndedRun = (runs: readonly RunHistory[], before: number): RunHistory | undefined => {
  let last: RunHistory | undefined;
  for (const run of runs) {
    const isEarlier =
      run.endedAt !== undefined && run.endedAt <= before + SAME_TURN_TOLERANCE_MS && run.placedAt < before;
    if (isEarlier && (last?.endedAt ?? -Infinity) < run.endedAt!) {
      last = run;
    }
  }
  return last;
};

/** Finds the last wait that was logged after `from` and not after `to`; undefined when there is none. */
const findLastSample = ({ waitSamples }: JobHistory, from: number, to: number): WaitSample | undefined =>
  waitSamples.findLast(({ at }) => at > from && at <= to + SAME_TURN_TOLERANCE_MS);

/**
 * Adds the time from `from` to the current start of the path, which no run covers: logged waits with their causes, and the time between
 * them as `leader` when a leader took over in it, otherwise as the fallback cause.
 */
const addGap = (
  path: PathBuilder,
  history: JobHistory,
  from: number,
  { fallback = 'unknown', run = '' }: { readonly fallback?: LedgerCause; readonly run?: string } = {},
): void => {
  const addUnloggedSpan = (start: number): void => {
    const isTakenOver = history.takeOvers.some((at) => at > start && at <= path.getStart());
    path.addSpan(isTakenOver ? 'leader' : fallback, start, run);
  };
  let sample = findLastSample(history, from, path.getStart());
  while (sample !== undefined) {
    addUnloggedSpan(sample.at);
    addWaits(path, sample.at, sample.waits, from, run);
    sample = findLastSample(history, from, path.getStart() - 2 * SAME_TURN_TOLERANCE_MS);
  }
  addUnloggedSpan(from);
};

/**
 * Computes the critical path of a job from its history, from the request to the end of the job without gaps. Of runs in parallel only the
 * one that ended last is on it. Returns no spans for a job without a logged end.
 */
export const computeCriticalPath = (history: JobHistory): readonly LedgerSpan[] => {
  if (history.endedAt === undefined) {
    return [];
  }
  const startsAt = history.acceptedAt - history.acceptMs;
  const path = new PathBuilder(history.endedAt, startsAt);
  const remaining = new Set(history.runs.values());
  let run = findLastEndedRun([...remaining], path.getStart());
  const lastEndedAt = run?.endedAt ?? history.endedAt;
  if (history.endedAt - lastEndedAt <= MAX_END_RECORDING_MS) {
    path.addSpan('noted', lastEndedAt);
  }
  while (run !== undefined) {
    remaining.delete(run);
    addGap(path, history, run.endedAt!);
    const previous = findPreviousRun(remaining, run);
    addRun(path, run);
    addRunWaits(path, run, [...history.runs.values()], previous?.endedAt ?? -Infinity);
    const retryStart = previous?.endedAt ?? path.getStart();
    addGap(path, history, retryStart, { fallback: 'retry', run: toRunName(run) });
    run = previous ?? findLastEndedRun([...remaining], path.getStart());
  }
  addGap(path, history, history.addedAt ?? history.acceptedAt);
  path.addSpan('handOver', history.acceptedAt);
  path.addSpan('accept', startsAt);
  return path.spans;
};
