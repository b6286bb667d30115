import { isPastStartup } from '../crashes/isPastStartup';
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
  readonly stopPolicy: StopPolicy;
  /** Estimates the run time of a task from learned run times of such steps of the queue, else from the caller's estimate. */
  readonly estimateRunTime: (queue: string, shape: JobStep) => RunTimeEstimate;
  /** Called with each run to move; has to stop the run. */
  readonly handleRunMove: (candidate: MoveCandidate) => void;
}

/** A task that was moved this often, for any reason, is not moved as a straggler again. */
const MAX_MOVES_FOR_STRAGGLER_MOVE = 2;
/** Time from the stop of a run until the task's next run makes progress, without the time for an advice request. */
const MOVE_OVERHEAD_MS = 300;
/** Time from the confirmed start of a run to the newest poll that listed it, below which the run is not moved as a straggler. */
const MIN_OBSERVED_RUN_MS = 250;
/** Factor by which a caller's estimate of the run time is multiplied for the baseline, since the estimate may be too low. */
const MAX_ESTIMATE_ERROR_RATIO = 3;
/** Pace above which a run counts as slow, as a multiple of the baseline pace. */
const SLOW_PACE_RATIO = 2.5;
/** Lower bound of the run time above which a run counts as slow by learned run times, as a multiple of their 90th percentile. */
const SLOW_P90_RATIO = 1.3;
const FULL_PERCENT = 100;

const isStragglerCause = (cause: StopCause): boolean => cause === 'slow' || cause === 'stalled';

/** Finds stragglers, and runs that would be cut off when their draining endpoint leaves, and has them moved to other endpoints. */
export class RunMover {
  /** How often each task was moved, for any reason. */
  private readonly moveCountsByTask = new Map<string, number>();

  constructor(private readonly options: RunMoverOptions) {}

  /**
   * Moves all runs that would be cut off, and stragglers by priority and gain, up to the share of all runs that may be moved at once.
   * Only runs for which another endpoint has free capacity are moved.
   */
  handleTick(now: number): void {
    const candidates: MoveCandidate[] = [];
    const counts = { runs: 0, moving: 0 };
    for (const endpoint of this.options.endpoints.values()) {
      for (const run of [...endpoint.getRuns()]) {
        counts.runs += 1;
        counts.moving +=
          run.stage === 'stopping' && run.stopCause !== undefined && isStragglerCause(run.stopCause) ? 1 : 0;
        const candidate = run.stage === 'running' ? this.toMoveCandidate(endpoint, run, now) : undefined;
        if (candidate !== undefined && this.hasOtherEndpoint(endpoint, run, now)) {
          candidates.push(candidate);
        }
      }
    }
    const maxMoving = counts.runs * this.options.stopPolicy.maxMovingRunShare;
    const stragglers = candidates.filter(({ reason }) => isStragglerCause(reason));
    const chosen = new Set(chooseMoves(stragglers, maxMoving, counts.moving));
    candidates
      .filter((candidate) => !isStragglerCause(candidate.reason) || chosen.has(candidate))
      .forEach((candidate) => this.recordMove(candidate));
  }

  /** Counts the move of a task, and calls the handler that carries the move out. */
  private recordMove(candidate: MoveCandidate): void {
    const { run } = candidate;
    this.moveCountsByTask.set(run.task, (this.moveCountsByTask.get(run.task) ?? 0) + 1);
    this.options.handleRunMove(candidate);
  }

  /**
   * Returns the run as a candidate for a move, with the reason and the expected gain; undefined if it is not to be moved, if its
   * step is unknown, or if the endpoint is unreachable. On a draining endpoint with a minimum drain time, only a run that would be cut
   * off is moved; on any other, only a straggler.
   */
  private toMoveCandidate(endpoint: EndpointState, run: PlacedRun, now: number): MoveCandidate | undefined {
    const shape = this.getStep(run);
    if (shape === undefined || endpoint.getUnreachableSince() !== undefined) {
      return undefined;
    }
    const { priority } = run;
    if (run.isCrashSuspect && !isPastStartup(run)) {
      // The run shows whether it crashes an endpoint again; a stop would cost a start that tells nothing.
      return undefined;
    }
    if (endpoint.getProfile().isDraining && endpoint.getProfile().minDrainMs > 0) {
      return this.isEvictionDue(endpoint, run, shape, now)
        ? { endpoint, run, priority, reason: 'endpointLeaves', gainMs: 0 }
        : undefined;
    }
    const isMoveLimitReached = (this.moveCountsByTask.get(run.task) ?? 0) >= MAX_MOVES_FOR_STRAGGLER_MOVE;
    // Only the time up to the newest poll counts, since that poll reported `percent`.
    const observedMs = run.lastListedAt - run.startConfirmedAt;
    // A task with crash records is not moved: its run shows whether it crashes an endpoint again.
    const hasCrashed = (this.getJob(run)?.progress.getTask(run.address)?.crashes.length ?? 0) > 0;
    if (
      shape.isGang ||
      isMoveLimitReached ||
      hasCrashed ||
      !this.isPaceComparable(run) ||
      observedMs < MIN_OBSERVED_RUN_MS
    ) {
      return undefined;
    }
    const baseline = this.computeBaselinePaces(run, shape);
    if (baseline.baselinePace === 0) {
      return undefined;
    }
    // An object spread would be slow here, since this code runs for each run on each tick.
    const input: SlowRunInput = {
      baselinePace: baseline.baselinePace,
      slowPace: baseline.slowPace,
      pace: observedMs / Math.max(1, run.percent),
      percent: run.percent,
      stalledMs: run.lastListedAt - run.lastProgressAt,
      moveMs: MOVE_OVERHEAD_MS + (this.getJob(run)?.getQueue().advice?.decisionMs ?? 0),
      isSavingOnStop: shape.isCheckpointing,
    };
    const reason = this.options.stopPolicy.findMoveReason(input);
    const gainMs =
      input.pace * (FULL_PERCENT - input.percent) - input.baselinePace * FULL_PERCENT - input.moveMs;
    return reason === undefined ? undefined : { endpoint, run, priority, reason, gainMs };
  }

  /**
   * Computes the baseline pace and the pace above which a run is slow from the median of the step's tasks, else from learned run times
   * if the policy uses them, else from the caller's estimate. The baseline is 0 if there is no estimate either.
   */
  private computeBaselinePaces(
    run: PlacedRun,
    shape: JobStep,
  ): Pick<SlowRunInput, 'baselinePace' | 'slowPace'> {
    const job = this.getJob(run);
    const median = job?.getStepSpeeds(run.address.repetition, run.address.step).getMedianPace();
    if (median !== undefined) {
      return { baselinePace: median, slowPace: SLOW_PACE_RATIO * median };
    }
    const { stopPolicy, estimateRunTime } = this.options;
    const isEstimateUsed = job !== undefined && stopPolicy.isUsingLearntRunTimes;
    const estimate = isEstimateUsed ? estimateRunTime(job.getQueue().name, shape) : undefined;
    if (estimate?.isLearnt === true) {
      const slowMs = Math.max(SLOW_PACE_RATIO * estimate.medianMs, SLOW_P90_RATIO * estimate.p90Ms);
      return { baselinePace: estimate.medianMs / FULL_PERCENT, slowPace: slowMs / FULL_PERCENT };
    }
    const baselinePace = (shape.estimatedMs * MAX_ESTIMATE_ERROR_RATIO) / FULL_PERCENT;
    return { baselinePace, slowPace: SLOW_PACE_RATIO * baselinePace };
  }

  /**
   * Returns true if the run has to leave its draining endpoint now: that of a long-running task at once, any other when the policy
   * says so by the deadline and the remaining time. Members of gangs only leave if the policy evicts gangs.
   */
  private isEvictionDue(endpoint: EndpointState, run: PlacedRun, shape: JobStep, now: number): boolean {
    if (shape.isGang && !this.options.stopPolicy.isEvictingGangs) {
      return false;
    }
    if (shape.isLongRunning) {
      return true;
    }
    return this.options.stopPolicy.isEvictionDue({
      untilDrainDeadlineMs: endpoint.getDrainDeadline(now) - now,
      remainingMs: this.estimateRemainingMs(run, shape),
      isSavingOnStop: shape.isCheckpointing,
    });
  }

  /** Estimates the time until the run ends, from its pace, or from the caller's estimate while it has no progress. */
  private estimateRemainingMs(run: PlacedRun, shape: JobStep): number {
    const observedMs = run.lastListedAt - run.startConfirmedAt;
    const pace = run.percent > 0 ? observedMs / run.percent : shape.estimatedMs / FULL_PERCENT;
    return pace * (FULL_PERCENT - run.percent);
  }

  /** Returns true if another endpoint of the service is schedulable, not degraded, and has free capacity for the run. */
  private hasOtherEndpoint(endpoint: EndpointState, run: PlacedRun, now: number): boolean {
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

  /**
   * Returns true if the run's pace can be compared with a baseline: it began from the start, and is no filler or long-running
   * task.
   */
  private isPaceComparable(run: PlacedRun): boolean {
    return !run.isFiller && !run.isServing && run.isFromStart && this.getStep(run)?.isLongRunning === false;
  }

  private getJob(run: PlacedRun): LiveJob | undefined {
    return this.options.jobs.get(run.job);
  }

  private getStep(run: PlacedRun): JobStep | undefined {
    return this.getJob(run)?.definition.steps[run.address.step];
  }
}
