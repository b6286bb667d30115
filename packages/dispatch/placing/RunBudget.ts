import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunCounts } from '../runs/RunCounts';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Number of runs that a leader keeps. Bounds the memory and the calls that they take, whatever fits on the endpoints. */
const MAX_RUNS = 16_384;
/** Number of starts that are under way: recorded, sent or not yet confirmed. Bounds what a round takes on. */
const MAX_PENDING_STARTS = 512;
/** Number of runs that a job may have in any case. */
const MIN_RUNS_PER_JOB = 64;

const PENDING_STAGES: ReadonlySet<PlacedRun['stage']> = new Set(['recording', 'ordered']);

/** Numbers of runs, in all and of one job. */
interface Usage {
  readonly total: number;
  readonly ofJob: number;
}

/** Returns how many more a job may have: as many as are left of the maximum beyond its own, so that each further large job gets a share too. */
const computeAllowance = ({ total, ofJob }: Usage, maximum: number): number =>
  Math.max(MIN_RUNS_PER_JOB, maximum - total) - ofJob;

/**
 * Reduces waiting steps to the tasks that may be placed beside the runs and the pending starts that there are. A job may have as many of either as are
 * left for others, and a small number in any case, so that no job, however large, keeps others from starting.
 */
export class RunBudget {
  /** Pending starts by job; undefined until they are counted in a round. */
  private pendingStarts: { total: number; readonly byJob: Map<JobId, number> } | undefined;

  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly runCounts: RunCounts,
  ) {}

  /** Begins a round of placement. */
  startRound(): void {
    this.pendingStarts = undefined;
  }

  /** Returns the step with only as many of its tasks as may be placed now; undefined when none may, or not all members of a gang. */
  computeStartablePart(step: WaitingStep): WaitingStep | undefined {
    const { job, indexes, shape } = step;
    const { id } = job.definition;
    const runs = { total: this.runCounts.countRuns(), ofJob: this.runCounts.countRunsOfJob(id) };
    if (runs.ofJob + indexes.length <= MIN_RUNS_PER_JOB) {
      return step;
    }
    const starts = this.getPendingStarts();
    const pending = { total: starts.total, ofJob: starts.byJob.get(id) ?? 0 };
    const runAllowance = computeAllowance(runs, MAX_RUNS);
    if (shape.isGang) {
      // Its members start together, and may be more than can be under way otherwise.
      const canStart =
        pending.total <= MAX_PENDING_STARTS / 2 ||
        indexes.length <= computeAllowance(pending, MAX_PENDING_STARTS);
      return canStart && indexes.length <= runAllowance ? step : undefined;
    }
    const count = Math.min(runAllowance, computeAllowance(pending, MAX_PENDING_STARTS));
    if (count >= indexes.length) {
      return step;
    }
    return count <= 0 ? undefined : { ...step, indexes: indexes.slice(0, count) };
  }

  /** Records that tasks of a job have been placed in this round. */
  recordPlacements(job: JobId, count: number): void {
    const { pendingStarts } = this;
    if (pendingStarts !== undefined) {
      pendingStarts.total += count;
      pendingStarts.byJob.set(job, (pendingStarts.byJob.get(job) ?? 0) + count);
    }
  }

  private getPendingStarts(): NonNullable<RunBudget['pendingStarts']> {
    this.pendingStarts ??= this.countPendingStarts();
    return this.pendingStarts;
  }

  /** Counts the pending starts. Iterates over all runs. */
  private countPendingStarts(): NonNullable<RunBudget['pendingStarts']> {
    const byJob = new Map<JobId, number>();
    let total = 0;
    for (const endpoint of this.endpoints.values()) {
      for (const { stage, job } of endpoint.getRuns()) {
        if (PENDING_STAGES.has(stage)) {
          total += 1;
          byJob.set(job, (byJob.get(job) ?? 0) + 1);
        }
      }
    }
    return { total, byJob };
  }
}
