import type { EndpointLife } from '../../jobs/EndpointLife';
import type { JobId } from '../../jobs/JobId';
import type { JobStep } from '../../jobs/JobStep';
import type { EndpointBook } from '../endpoints/EndpointBook';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from './PlacedRun';
import { readStraggling } from './readStraggling';

type MoveReason = 'stalled' | 'slow' | 'endpoint leaves';

interface RunMoverOptions {
  readonly books: ReadonlyMap<EndpointLife, EndpointBook>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly handleMove: (book: EndpointBook, run: PlacedRun, reason: MoveReason) => void;
}

/** Moves of one task for being slow: beyond this its siblings are the odd ones. */
const MAX_MOVES = 2;
const MOVE_MS = 300;
const KNOWN_AFTER_MS = 250;
/** An estimate may be so far off; without siblings only what is far slower counts. */
const ESTIMATE_SLACK = 3;
/** A leaving endpoint is left so long before its time is over. */
const LEAVE_MARGIN_MS = 700;
const WHOLE = 100;

/** Finds runs that would end sooner, or at all, on another endpoint. */
export class RunMover {
  private readonly moveCounts = new Map<string, number>();

  constructor(private readonly options: RunMoverOptions) {}

  /** Moves what should move. */
  applyTime(now: number): void {
    for (const book of this.options.books.values()) {
      for (const run of [...book.readRuns()]) {
        const reason = run.stage === 'running' ? this.readReason(book, run, now) : undefined;
        if (reason !== undefined && this.hasOtherRoom(book, run, now)) {
          this.moveCounts.set(run.task, (this.moveCounts.get(run.task) ?? 0) + 1);
          this.options.handleMove(book, run, reason);
        }
      }
    }
  }

  private readReason(book: EndpointBook, run: PlacedRun, now: number): MoveReason | undefined {
    const shape = this.readShape(run);
    if (shape === undefined || shape.isGang || book.readSilentSince() !== undefined) {
      return undefined;
    }
    if (book.readProfile().isDraining && book.readProfile().remainingMs > 0) {
      return this.isCutShort(book, run, shape, now) ? 'endpoint leaves' : undefined;
    }
    const isDone = (this.moveCounts.get(run.task) ?? 0) >= MAX_MOVES;
    // What was seen last counts, not what time has passed since.
    const seenMs = run.seenAt - run.confirmedAt;
    // A run of a task under which an endpoint has ended is to show whether it does so again.
    const hasCrashed = (this.readJob(run)?.progress.readTask(run.address)?.crashes.length ?? 0) > 0;
    if (isDone || hasCrashed || !this.isMeasurable(run) || seenMs < KNOWN_AFTER_MS) {
      return undefined;
    }
    const median = this.readJob(run)?.readSpeeds(run.address.time, run.address.step).readMedian();
    const usualPace = median ?? (shape.estimatedMs * ESTIMATE_SLACK) / WHOLE;
    if (usualPace === 0) {
      return undefined;
    }
    return readStraggling({
      pace: seenMs / Math.max(1, run.percent),
      usualPace,
      percent: run.percent,
      stalledMs: run.seenAt - run.progressedAt,
      moveMs: MOVE_MS + (this.readJob(run)?.definition.queue.advice?.decisionMs ?? 0),
    });
  }

  /** True when the endpoint leaves before the run can be done there. */
  private isCutShort(book: EndpointBook, run: PlacedRun, shape: JobStep, now: number): boolean {
    if (shape.isLongRunning) {
      return true;
    }
    const leftMs = book.readLeavesAt(now) - now;
    const seenMs = run.seenAt - run.confirmedAt;
    const pace = run.percent > 0 ? seenMs / run.percent : shape.estimatedMs / WHOLE;
    const remainingMs = pace * (WHOLE - run.percent);
    if (remainingMs <= leftMs) {
      return false;
    }
    // What keeps checkpoints works on until shortly before the end; other work is lost whenever it stops.
    return !shape.isCheckpointing || leftMs < LEAVE_MARGIN_MS;
  }

  private hasOtherRoom(book: EndpointBook, run: PlacedRun, now: number): boolean {
    const { service, id } = book.readProfile();
    for (const other of this.options.books.values()) {
      const profile = other.readProfile();
      const isOther = profile.id !== id && profile.service === service;
      if (isOther && other.isUsable() && !other.isDoubtful(now) && other.hasRoom(run.demand)) {
        return true;
      }
    }
    return false;
  }

  /** Fillers work at what is left over, and a run from a checkpoint does not begin at nothing: their pace says nothing. */
  private isMeasurable(run: PlacedRun): boolean {
    return !run.isFiller && !run.isServing && run.isFromStart && this.readShape(run)?.isLongRunning === false;
  }

  private readJob(run: PlacedRun): LiveJob | undefined {
    return this.options.jobs.get(run.job);
  }

  private readShape(run: PlacedRun): JobStep | undefined {
    return this.readJob(run)?.definition.steps[run.address.step];
  }
}
