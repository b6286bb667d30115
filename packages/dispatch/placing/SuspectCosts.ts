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
  /** Number of crashes of endpoints that ran the task. */
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
   * Returns whether a suspect task of the step is in its startup, or may be since no poll has listed its run yet, for a limited time after
   * its placement. The other suspects of the step then have to wait, since they are likely to behave alike. Always false for gangs, whose
   * members start together.
   */
  hasStartingSuspectSibling({ job, repetition, step, shape }: WaitingStep, now: number): boolean {
    if (shape.isGang) {
      return false;
    }
    return job.progress.listTasks(repetition, step).some((task, index) => {
      if (task.phase !== 'placed' || !isCrashSuspect(task.crashes)) {
        return false;
      }
      const name = toTaskName(job.definition.id, { repetition, step, index });
      const run = this.endpoints.get(task.endpoint)?.getRun(name, task.runNumber);
      return run !== undefined && !isPastStartup(run) && now - run.placedAt < crashLimits.maxSiblingWaitMs;
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
