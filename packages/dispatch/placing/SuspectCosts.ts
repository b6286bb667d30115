import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { toTaskName } from '../../jobs/toTaskName';
import { crashLimits } from '../crashes/crashLimits';
import type { CrashTracker } from '../crashes/CrashTracker';
import { isCrashSuspect } from '../crashes/isCrashSuspect';
import { isPastStartup } from '../crashes/isPastStartup';
import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Beside a run that has just begun the next crash tells little, and beside one that serves it does most harm. */
const BEGUN_NEIGHBOUR_COST = 2000;
const CRASHED_LATELY_COST = 1500;
const SERVING_NEIGHBOUR_COST = 300;
const NEIGHBOUR_COST = 30;
/** For sound tasks: an endpoint on which a task under suspicion has just begun is taken when there is no other. */
const SUSPECT_NEIGHBOUR_COST = 1500;

/** A task that may be started. */
interface Candidate {
  readonly isSuspect: boolean;
  /** Endpoints that have ended under it. */
  readonly crashes: number;
}

/**
 * Keeps tasks under suspicion apart, so that the next crash tells which of them ended the endpoint, and takes little with it. Each begins
 * where no other one is about to show what it does, for at most as long as it takes to be proven.
 */
export class SuspectCosts {
  constructor(
    private readonly books: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly crashes: CrashTracker,
  ) {}

  /**
   * True while a sibling under suspicion has just begun: tasks of one step are likely to behave alike, so each waits for what the one before
   * it shows. A step of 20 harmful tasks cost 5 endpoints of 33, and 42 where all began at once (tests/crashes, virtual time).
   */
  hasSiblingOnProbation({ job, time, step, shape }: WaitingStep): boolean {
    if (shape.isGang) {
      return false;
    }
    return job.progress.listTasks(time, step).some((task, index) => {
      if (task.phase !== 'placed' || !isCrashSuspect(task.crashes)) {
        return false;
      }
      const name = toTaskName(job.definition.id, { time, step, index });
      const run = this.books.get(task.endpoint)?.getRun(name, task.run);
      return run !== undefined && !isPastStartup(run);
    });
  }

  /**
   * Cost of an endpoint for a task of a step under which `crashes` endpoints have ended; Infinity where it must not begin now. A task that has
   * lost some already waits for its neighbour to be proven, 0.3 s: sound jobs beside harmful tasks would lose endpoint after endpoint to their
   * neighbours, and be given up.
   */
  measureCost(
    step: WaitingStep,
    { isSuspect, crashes }: Candidate,
    book: EndpointState,
    now: number,
  ): number {
    const hasOthers = this.hasOthersOnProbation(step, book);
    if (!isSuspect) {
      const neighbourCost = crashes >= crashLimits.protectedAfterCrashes ? Infinity : SUSPECT_NEIGHBOUR_COST;
      return hasOthers ? neighbourCost : 0;
    }
    if (hasOthers) {
      return Infinity;
    }
    const isCrashed = this.crashes.hasCrashedRecently(book.getProfile().address, now);
    let cost = isCrashed ? CRASHED_LATELY_COST : 0;
    for (const run of book.getRuns()) {
      cost += this.measureNeighbour(step, run);
    }
    return cost;
  }

  private measureNeighbour(step: WaitingStep, run: PlacedRun): number {
    const begunCost = isPastStartup(run) || this.isOfGang(step, run) ? 0 : BEGUN_NEIGHBOUR_COST;
    return begunCost + (run.isServing ? SERVING_NEIGHBOUR_COST : NEIGHBOUR_COST);
  }

  private hasOthersOnProbation(step: WaitingStep, book: EndpointState): boolean {
    for (const run of book.getStartingSuspects()) {
      if (!this.isOfGang(step, run)) {
        return true;
      }
    }
    return false;
  }

  /** Members of a gang start together, and are charged as one. */
  private isOfGang(step: WaitingStep, { job, address }: PlacedRun): boolean {
    const isSameStep =
      job === step.job.definition.id && address.time === step.time && address.step === step.step;
    return step.shape.isGang && isSameStep;
  }
}
