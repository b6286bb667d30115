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
  readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly stops: StopPolicy;
  /** Estimates the run time of a task of a queue's step. */
  readonly estimateRunTime: (queue: string, shape: JobStep) => RunTimeEstimate;
  readonly handleMove: (candidate: MoveCandidate) => void;
}

/** A task that was moved this often as a straggler is not moved again. */
const MAX_MOVES = 2;
/** Time from the stop of a run until its successor makes progress, without advice. */
const MOVE_OVERHEAD_MS = 300;
/** Time for which a run must have been observed before its pace counts. */
const MIN_OBSERVED_MS = 250;
/** Factor by which a caller's estimate of the run time may be too low. */
const ESTIMATE_SLACK = 3;
/** Pace above which a run counts as slow, as a multiple of the baseline; exceeds the usual spread of endpoints. */
const SLOW_RATIO = 2.5;
/** Run time above which a run without siblings counts as slow, as a multiple of the 90th percentile. */
const P90_RATIO = 1.3;
const ALL_PERCENT = 100;

const isStragglerCause = (cause: StopCause): boolean => cause === 'slow' || cause === 'stalled';

/** Moves stragglers, and runs that would be cut off when their endpoint drains, to other endpoints. */
export class RunMover {
  private readonly moveCounts = new Map<string, number>();

  constructor(private readonly options: RunMoverOptions) {}

  /** Moves all runs that would be cut off, and as many stragglers as may be moved at once. */
  handleTick(now: number): void {
    const candidates: MoveCandidate[] = [];
    const counts = { runs: 0, moving: 0 };
    for (const endpoint of this.options.endpoints.values()) {
      for (const run of [...endpoint.getRuns()]) {
        counts.runs += 1;
        counts.moving +=
          run.stage === 'stopping' && run.stopCause !== undefined && isStragglerCause(run.stopCause) ? 1 : 0;
        const candidate = run.stage === 'running' ? this.findCandidate(endpoint, run, now) : undefined;
        if (candidate !== undefined && this.hasAlternative(endpoint, run, now)) {
          candidates.push(candidate);
        }
      }
    }
    const maxMoving = counts.runs * this.options.stops.maxMovingShare;
    const stragglers = candidates.filter(({ reason }) => isStragglerCause(reason));
    const chosen = new Set(chooseMoves(stragglers, maxMoving, counts.moving));
    candidates
      .filter((candidate) => !isStragglerCause(candidate.reason) || chosen.has(candidate))
      .forEach((candidate) => this.recordMove(candidate));
  }

  private recordMove(candidate: MoveCandidate): void {
    const { run } = candidate;
    this.moveCounts.set(run.task, (this.moveCounts.get(run.task) ?? 0) + 1);
    this.options.handleMove(candidate);
  }

  private findCandidate(endpoint: EndpointState, run: PlacedRun, now: number): MoveCandidate | undefined {
    const shape = this.getStep(run);
    if (shape === undefined || endpoint.getUnreachableSince() !== undefined) {
      return undefined;
    }
    const { priority } = run;
    if (endpoint.getProfile().isDraining && endpoint.getProfile().minDrainMs > 0) {
      return this.isEvictionDue(endpoint, run, shape, now)
        ? { book: endpoint, run, priority, reason: 'endpointLeaves', gainMs: 0 }
        : undefined;
    }
    const isMoveLimitReached = (this.moveCounts.get(run.task) ?? 0) >= MAX_MOVES;
    // Measured up to the newest poll, to which `percent` belongs.
    const observedMs = run.lastListedAt - run.confirmedAt;
    // A task that may have crashed an endpoint stays, to show whether it does so again.
    const hasCrashed = (this.getJob(run)?.progress.getTask(run.address)?.crashes.length ?? 0) > 0;
    if (
      shape.isGang ||
      isMoveLimitReached ||
      hasCrashed ||
      !this.isMeasurable(run) ||
      observedMs < MIN_OBSERVED_MS
    ) {
      return undefined;
    }
    const baseline = this.computeBaseline(run, shape);
    if (baseline.baselinePace === 0) {
      return undefined;
    }
    // No object spread, which is slow: this is called for each run on each tick.
    const input: SlowRunInput = {
      baselinePace: baseline.baselinePace,
      slowPace: baseline.slowPace,
      pace: observedMs / Math.max(1, run.percent),
      percent: run.percent,
      stalledMs: run.lastListedAt - run.progressedAt,
      moveMs: MOVE_OVERHEAD_MS + (this.getJob(run)?.definition.queue.advice?.decisionMs ?? 0),
      isSaving: shape.isCheckpointing,
    };
    const reason = this.options.stops.findMoveReason(input);
    const gainMs =
      input.pace * (ALL_PERCENT - input.percent) - input.baselinePace * ALL_PERCENT - input.moveMs;
    return reason === undefined ? undefined : { book: endpoint, run, priority, reason, gainMs };
  }

  /** Computes the baseline pace of a step from its other tasks, else from learned run times, else from the caller's estimate. */
  private computeBaseline(run: PlacedRun, shape: JobStep): Pick<SlowRunInput, 'baselinePace' | 'slowPace'> {
    const job = this.getJob(run);
    const median = job?.getSpeeds(run.address.repetition, run.address.step).getMedian();
    if (median !== undefined) {
      return { baselinePace: median, slowPace: SLOW_RATIO * median };
    }
    const { stops, estimateRunTime } = this.options;
    const isEstimateUsed = job !== undefined && stops.isUsingRunTimes;
    const estimate = isEstimateUsed ? estimateRunTime(job.definition.queue.name, shape) : undefined;
    if (estimate?.isLearnt === true) {
      const slowMs = Math.max(SLOW_RATIO * estimate.medianMs, P90_RATIO * estimate.p90Ms);
      return { baselinePace: estimate.medianMs / ALL_PERCENT, slowPace: slowMs / ALL_PERCENT };
    }
    const usualPace = (shape.estimatedMs * ESTIMATE_SLACK) / ALL_PERCENT;
    return { baselinePace: usualPace, slowPace: SLOW_RATIO * usualPace };
  }

  /** Returns true when the endpoint will leave before the run can end there. */
  private isEvictionDue(endpoint: EndpointState, run: PlacedRun, shape: JobStep, now: number): boolean {
    if (shape.isGang && !this.options.stops.isEvictingGangs) {
      return false;
    }
    if (shape.isLongRunning) {
      return true;
    }
    return this.options.stops.isEvictionDue({
      untilDeadlineMs: endpoint.getDrainDeadline(now) - now,
      remainingMs: this.estimateRemainingMs(run, shape),
      isSaving: shape.isCheckpointing,
    });
  }

  private estimateRemainingMs(run: PlacedRun, shape: JobStep): number {
    const observedMs = run.lastListedAt - run.confirmedAt;
    const pace = run.percent > 0 ? observedMs / run.percent : shape.estimatedMs / ALL_PERCENT;
    return pace * (ALL_PERCENT - run.percent);
  }

  private hasAlternative(endpoint: EndpointState, run: PlacedRun, now: number): boolean {
    const { service, id } = endpoint.getProfile();
    for (const other of this.options.endpoints.values()) {
      const profile = other.getProfile();
      const isOther = profile.id !== id && profile.service === service;
      if (isOther && other.isSchedulable() && !other.isDegraded(now) && other.hasCapacityFor(run.demand)) {
        return true;
      }
    }
    return false;
  }

  /** Returns false for runs whose pace cannot be compared, such as fillers, which use spare time, and resumed runs. */
  private isMeasurable(run: PlacedRun): boolean {
    return !run.isFiller && !run.isServing && run.isFromStart && this.getStep(run)?.isLongRunning === false;
  }

  private getJob(run: PlacedRun): LiveJob | undefined {
    return this.options.jobs.get(run.job);
  }

  private getStep(run: PlacedRun): JobStep | undefined {
    return this.getJob(run)?.definition.steps[run.address.step];
  }
}
