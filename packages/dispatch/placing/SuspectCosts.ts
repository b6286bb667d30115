import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { toTaskName } from '../../jobs/toTaskName';
import { crashLimits } from '../crashes/crashLimits';
import type { CrashTracker } from '../crashes/CrashTracker';
import { isCrashSuspect } from '../crashes/isCrashSuspect';
import { isPastStartup } from '../crashes/isPastStartup';
import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Cost of a neighbour in its startup, beside which a crash couldn't be attributed. */
const STARTING_NEIGHBOUR_COST = 2000;
const RECENT_CRASH_COST = 1500;
const SERVING_NEIGHBOUR_COST = 300;
const NEIGHBOUR_COST = 30;
/** Cost for a healthy task of an endpoint with a suspect in its startup. */
const SUSPECT_NEIGHBOUR_COST = 1500;

/** A task to be placed. */
interface Candidate {
  readonly isSuspect: boolean;
  /** Number of endpoints that crashed while they ran it. */
  readonly crashes: number;
}

/**
 * Placement costs that keep crash suspects apart, so that a crash can be attributed to one of them and affects few other runs. No two
 * suspects are in their startup on one endpoint, except members of one gang.
 */
export class SuspectCosts {
  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly crashes: CrashTracker,
  ) {}

  /**
   * Returns whether another suspect task of the step is in its startup. Suspects of one step are started one after the other, since
   * they are likely to behave alike; members of a gang start together.
   */
  hasStartingSibling({ job, repetition: time, step, shape }: WaitingStep): boolean {
    if (shape.isGang) {
      return false;
    }
    return job.progress.listTasks(time, step).some((task, index) => {
      if (task.phase !== 'placed' || !isCrashSuspect(task.crashes)) {
        return false;
      }
      const name = toTaskName(job.definition.id, { repetition: time, step, index });
      const run = this.endpoints.get(task.endpoint)?.getRun(name, task.runNumber);
      return run !== undefined && !isPastStartup(run);
    });
  }

  /**
   * Returns the cost of an endpoint for a task; Infinity where it must not start now. A healthy task that has been in several crashes
   * isn't started beside a starting suspect either, so that its neighbours' crashes don't bring it over the crash limit.
   */
  computeCost(
    step: WaitingStep,
    { isSuspect, crashes }: Candidate,
    endpoint: EndpointState,
    now: number,
  ): number {
    const hasOtherSuspects = this.hasOtherStartingSuspects(step, endpoint);
    if (!isSuspect) {
      const neighbourCost = crashes >= crashLimits.protectedAfterCrashes ? Infinity : SUSPECT_NEIGHBOUR_COST;
      return hasOtherSuspects ? neighbourCost : 0;
    }
    if (hasOtherSuspects) {
      return Infinity;
    }
    const hasCrashed = this.crashes.hasCrashedRecently(endpoint.getProfile().address, now);
    let cost = hasCrashed ? RECENT_CRASH_COST : 0;
    for (const run of endpoint.getRuns()) {
      cost += this.computeNeighbourCost(step, run);
    }
    return cost;
  }

  private computeNeighbourCost(step: WaitingStep, run: PlacedRun): number {
    const startupCost = isPastStartup(run) || this.isSameGang(step, run) ? 0 : STARTING_NEIGHBOUR_COST;
    return startupCost + (run.isServing ? SERVING_NEIGHBOUR_COST : NEIGHBOUR_COST);
  }

  private hasOtherStartingSuspects(step: WaitingStep, endpoint: EndpointState): boolean {
    for (const run of endpoint.getStartingSuspects()) {
      if (!this.isSameGang(step, run)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the run is a member of the gang to be placed; its members start together and share the blame for a crash. */
  private isSameGang(step: WaitingStep, { job, address }: PlacedRun): boolean {
    const isSameStep =
      job === step.job.definition.id && address.repetition === step.repetition && address.step === step.step;
    return step.shape.isGang && isSameStep;
  }
}
