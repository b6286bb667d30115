import type { JobAccount } from './JobAccount';
import type { LedgerCause } from './LedgerCause';
import type { LedgerSpan } from './LedgerSpan';
import type { RunAccount } from './RunAccount';

/** Waits before a placement, the one nearest to it first. */
const WAITS: readonly LedgerCause[] = ['pause', 'limit', 'room', 'answer', 'turn', 'round'];
/** The line of an end may come so much later than that of what it made possible: both are written in one turn. */
const SAME_TURN_MS = 2;

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

const recordRun = (path: PathBuilder, account: RunAccount): void => {
  const name = `${account.task} run ${account.run}`;
  const recordedAt = account.placedAt + account.recordMs;
  path.recordSpan(account.outcome === 'done' ? 'running' : 'lost', recordedAt + account.startMs, name);
  path.recordSpan('start', recordedAt, name);
  path.recordSpan('record', account.placedAt, name);
  for (const cause of WAITS) {
    path.recordSpan(cause, path.readAt() - (account.waits[cause] ?? 0), name);
  }
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
  path.recordSpan('noted', run?.endedAt ?? account.endedAt);
  while (run !== undefined) {
    open.delete(run);
    path.recordSpan('unknown', run.endedAt!);
    recordRun(path, run);
    run = readLastEnded([...open], path.readAt());
  }
  path.recordSpan('unknown', account.takenInAt ?? account.acceptedAt);
  path.recordSpan('handOver', account.acceptedAt);
  path.recordSpan('accept', beginsAt);
  return path.spans;
};
