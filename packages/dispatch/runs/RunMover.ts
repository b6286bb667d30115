import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { JobStep } from '../../jobs/JobStep';
import type { EndpointState } from '../endpoints/EndpointState';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from './PlacedRun';
import type { RunTimeEstimate } from '../speeds/RunTimeEstimate';
import { chooseMoves } from '../stops/chooseMoves';
import type { MoveCandidate } from '../stops/MoveCandidate';
import type { SlowRunInput } from '../stops/SlowRunInput';
import type { StopCause } from '../stops/StopCause';
import type { StopPolicy } from '../stops/StopPolicy';

interface RunMoverOptions {
  readonly books: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly stops: StopPolicy;
  /** How long a task of a queue's step runs, as far as is known. */
  readonly readRunTime: (queue: string, shape: JobStep) => RunTimeEstimate;
  readonly handleMove: (candidate: MoveCandidate) => void;
}

/** Moves of one task for being slow: beyond this its siblings are the odd ones. */
const MAX_MOVES = 2;
const MOVE_MS = 300;
const KNOWN_AFTER_MS = 250;
/** An estimate may be so far off; without siblings only what is far slower counts. */
const ESTIMATE_SLACK = 3;
/** By how much a run is slower than usual before it counts as slow: endpoints differ by up to two. */
const SLOW_RATIO = 2.5;
/** Without siblings, what takes so much longer than nine tenths of such tasks is slow. */
const TAIL_RATIO = 1.3;
const WHOLE = 100;

const isSlowness = (cause: StopCause): boolean => cause === 'slow' || cause === 'stalled';

/** Finds runs that would end sooner, or at all, on another endpoint. */
export class RunMover {
  private readonly moveCounts = new Map<string, number>();

  constructor(private readonly options: RunMoverOptions) {}

  /** Moves what should move: all that would be cut off, and of slow runs as many as may be on the move at once. */
  applyTime(now: number): void {
    const candidates: MoveCandidate[] = [];
    const counts = { runs: 0, moving: 0 };
    for (const book of this.options.books.values()) {
      for (const run of [...book.getRuns()]) {
        counts.runs += 1;
        counts.moving +=
          run.stage === 'stopping' && run.stopCause !== undefined && isSlowness(run.stopCause) ? 1 : 0;
        const candidate = run.stage === 'running' ? this.readCandidate(book, run, now) : undefined;
        if (candidate !== undefined && this.hasOtherRoom(book, run, now)) {
          candidates.push(candidate);
        }
      }
    }
    const mostMoving = counts.runs * this.options.stops.maxMovingShare;
    const slow = candidates.filter(({ reason }) => isSlowness(reason));
    const chosen = new Set(chooseMoves(slow, mostMoving, counts.moving));
    candidates
      .filter((candidate) => !isSlowness(candidate.reason) || chosen.has(candidate))
      .forEach((candidate) => this.startMove(candidate));
  }

  private startMove(candidate: MoveCandidate): void {
    const { run } = candidate;
    this.moveCounts.set(run.task, (this.moveCounts.get(run.task) ?? 0) + 1);
    this.options.handleMove(candidate);
  }

  private readCandidate(book: EndpointState, run: PlacedRun, now: number): MoveCandidate | undefined {
    const shape = this.readShape(run);
    if (shape === undefined || book.getUnreachableSince() !== undefined) {
      return undefined;
    }
    const { priority } = run;
    if (book.getProfile().isDraining && book.getProfile().remainingMs > 0) {
      return this.isCutShort(book, run, shape, now)
        ? { book, run, priority, reason: 'endpointLeaves', gainMs: 0 }
        : undefined;
    }
    const isDone = (this.moveCounts.get(run.task) ?? 0) >= MAX_MOVES;
    // What was seen last counts, not what time has passed since.
    const seenMs = run.seenAt - run.confirmedAt;
    // A run of a task under which an endpoint has ended is to show whether it does so again.
    const hasCrashed = (this.readJob(run)?.progress.getTask(run.address)?.crashes.length ?? 0) > 0;
    if (shape.isGang || isDone || hasCrashed || !this.isMeasurable(run) || seenMs < KNOWN_AFTER_MS) {
      return undefined;
    }
    const usual = this.readUsual(run, shape);
    if (usual.usualPace === 0) {
      return undefined;
    }
    // Fields one by one: this stands in the path of each run at each tick, and a spread costs several times as much.
    const input: SlowRunInput = {
      usualPace: usual.usualPace,
      slowPace: usual.slowPace,
      pace: seenMs / Math.max(1, run.percent),
      percent: run.percent,
      stalledMs: run.seenAt - run.progressedAt,
      moveMs: MOVE_MS + (this.readJob(run)?.definition.queue.advice?.decisionMs ?? 0),
      isSaving: shape.isCheckpointing,
    };
    const reason = this.options.stops.findMoveReason(input);
    const gainMs = input.pace * (WHOLE - input.percent) - input.usualPace * WHOLE - input.moveMs;
    return reason === undefined ? undefined : { book, run, priority, reason, gainMs };
  }

  /** The pace that is usual for a step, by its other tasks, else by what is known of such tasks, else by the caller's estimate. */
  private readUsual(run: PlacedRun, shape: JobStep): Pick<SlowRunInput, 'usualPace' | 'slowPace'> {
    const job = this.readJob(run);
    const median = job?.getSpeeds(run.address.time, run.address.step).getMedian();
    if (median !== undefined) {
      return { usualPace: median, slowPace: SLOW_RATIO * median };
    }
    const { stops, readRunTime } = this.options;
    const isKnown = job !== undefined && stops.isUsingRunTimes;
    const known = isKnown ? readRunTime(job.definition.queue.name, shape) : undefined;
    if (known?.isLearnt === true) {
      const slowMs = Math.max(SLOW_RATIO * known.medianMs, TAIL_RATIO * known.p90Ms);
      return { usualPace: known.medianMs / WHOLE, slowPace: slowMs / WHOLE };
    }
    const usualPace = (shape.estimatedMs * ESTIMATE_SLACK) / WHOLE;
    return { usualPace, slowPace: SLOW_RATIO * usualPace };
  }

  /** True when the endpoint leaves before the run can be done there. */
  private isCutShort(book: EndpointState, run: PlacedRun, shape: JobStep, now: number): boolean {
    if (shape.isGang && !this.options.stops.isMovingGangs) {
      return false;
    }
    if (shape.isLongRunning) {
      return true;
    }
    return this.options.stops.isEvictionDue({
      leftMs: book.getDrainDeadline(now) - now,
      remainingMs: this.readRemainingMs(run, shape),
      isSaving: shape.isCheckpointing,
    });
  }

  private readRemainingMs(run: PlacedRun, shape: JobStep): number {
    const seenMs = run.seenAt - run.confirmedAt;
    const pace = run.percent > 0 ? seenMs / run.percent : shape.estimatedMs / WHOLE;
    return pace * (WHOLE - run.percent);
  }

  private hasOtherRoom(book: EndpointState, run: PlacedRun, now: number): boolean {
    const { service, id } = book.getProfile();
    for (const other of this.options.books.values()) {
      const profile = other.getProfile();
      const isOther = profile.id !== id && profile.service === service;
      if (isOther && other.isSchedulable() && !other.isDegraded(now) && other.hasCapacityFor(run.demand)) {
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
