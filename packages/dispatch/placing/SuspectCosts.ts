import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { toTaskName } from '../../jobs/toTaskName';
import { crashLimits } from '../crashes/crashLimits';
import type { CrashTracker } from '../crashes/CrashTracker';
import { isCrashSuspect } from '../crashes/isCrashSuspect';
import { isPastStartup } from '../crashes/isPastStartup';
import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Cost of an endpoint for a suspect, for each run there in its startup: a crash couldn't be attributed to one of the two runs. */
const STARTING_NEIGHBOUR_COST = 2000;
/** Cost of an endpoint for a suspect, if there was a crash at the endpoint's address recently. */
const RECENT_CRASH_COST = 1500;
/** Cost of an endpoint for a suspect, for each serving run there, and for each run there that isn't serving. */
const SERVING_NEIGHBOUR_COST = 300;
const NON_SERVING_NEIGHBOUR_COST = 30;
/** Cost of an endpoint with a suspect in its startup, for a task that isn't a suspect. */
const SUSPECT_NEIGHBOUR_COST = 1500;

/** Properties of the task to be placed on which the costs depend. */
interface TaskToPlace {
  readonly isSuspect: boolean;
  /** Number of crashes, confirmed or not, of endpoints that ran the task. */
  readonly crashCount: number;
}

/**
 * Computes placement costs that keep crash suspects apart, so that a crash can be attributed to one of them and affects few other runs.
 * Two suspects are never in their startup on the same endpoint, unless they are members of one gang.
 */
export class SuspectCosts {
  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly crashTracker: CrashTracker,
  ) {}

  /**
   * Returns how many suspects of the step may start now, beside those in their startup; a gang isn't limited. The suspects of a step are
   * likely to behave alike, so that one starts at a time. In a long-running step as many may be in their startup as have passed it under
   * this leader, up to a limit. A run that no poll has listed may be in its startup for a limited time after its placement.
   */
  countStartableSuspects(step: WaitingStep, now: number): number {
    if (step.shape.isGang) {
      return Infinity;
    }
    let passedCount = 0;
    let startingCount = 0;
    for (const run of this.listSuspectRuns(step)) {
      if (isPastStartup(run)) {
        passedCount += 1;
      } else if (now - run.placedAt < crashLimits.maxSiblingWaitMs) {
        startingCount += 1;
      }
    }
    const maxStartingCount = step.shape.isLongRunning
      ? Math.min(Math.max(1, passedCount), crashLimits.maxStartingSuspects)
      : 1;
    return Math.max(0, maxStartingCount - startingCount);
  }

  /** Returns the runs of a step's tasks that were suspects when the runs were placed, or are suspects now. */
  private listSuspectRuns({ job, repetition, step }: WaitingStep): readonly PlacedRun[] {
    return job.progress.listTasks(repetition, step).flatMap((task, index) => {
      const name = toTaskName(job.definition.id, { repetition, step, index });
      const run =
        task.phase === 'placed' ? this.endpoints.get(task.endpoint)?.getRun(name, task.runNumber) : undefined;
      return run !== undefined && (run.isCrashSuspect || isCrashSuspect(task)) ? [run] : [];
    });
  }

  /**
   * Returns the cost of placing a task on an endpoint. It is Infinity beside another suspect in its startup, if the task is a suspect or
   * was present at so many crashes that one more could bring it over the crash limit. For any other task, a suspect in its startup there
   * adds a finite cost. For a suspect, each run on the endpoint and a recent crash at the endpoint's address add to the cost.
   */
  computeSuspectCost(
    step: WaitingStep,
    { isSuspect, crashCount }: TaskToPlace,
    endpoint: EndpointState,
    now: number,
  ): number {
    const hasOtherSuspects = this.hasOtherStartingSuspects(step, endpoint);
    if (!isSuspect) {
      const neighbourCost =
        crashCount >= crashLimits.protectedAfterCrashes ? Infinity : SUSPECT_NEIGHBOUR_COST;
      return hasOtherSuspects ? neighbourCost : 0;
    }
    if (hasOtherSuspects) {
      return Infinity;
    }
    const hasCrashed = this.crashTracker.hasCrashedRecently(endpoint.getProfile().address, now);
    let cost = hasCrashed ? RECENT_CRASH_COST : 0;
    for (const run of endpoint.getRuns()) {
      cost += this.computeNeighbourCost(step, run);
    }
    return cost;
  }

  /** Returns the cost for a suspect of one run that is on the endpoint. */
  private computeNeighbourCost(step: WaitingStep, run: PlacedRun): number {
    const startupCost = isPastStartup(run) || this.isSameGang(step, run) ? 0 : STARTING_NEIGHBOUR_COST;
    return startupCost + (run.isServing ? SERVING_NEIGHBOUR_COST : NON_SERVING_NEIGHBOUR_COST);
  }

  /** Returns whether the endpoint has a suspect in its startup that isn't a member of the gang to be placed. */
  private hasOtherStartingSuspects(step: WaitingStep, endpoint: EndpointState): boolean {
    for (const run of endpoint.getStartingSuspects()) {
      if (!this.isSameGang(step, run)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the step is a gang and the run one of its members. They start together and share the blame for a crash. */
  private isSameGang(step: WaitingStep, { job, address }: PlacedRun): boolean {
    const isSameStep =
      job === step.job.definition.id && address.repetition === step.repetition && address.step === step.step;
    return step.shape.isGang && isSameStep;
  }
}
