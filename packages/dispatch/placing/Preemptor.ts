import type { JobId } from '../../jobs/JobId';
import type { TaskDemand } from '../../jobs/TaskDemand';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointState } from '../endpoints/EndpointState';
import { measureOutlook } from '../stops/measureOutlook';
import { measureRoomWait } from '../stops/measureRoomWait';
import { measureStopCost } from '../stops/measureStopCost';
import type { RoomRule } from '../stops/RoomRule';
import type { PreemptionEstimate } from '../stops/PreemptionEstimate';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from '../runs/PlacedRun';
import type { EndpointReservations } from './EndpointReservations';
import type { WaitingStep } from '../waiting/WaitingStep';

interface PreemptorOptions {
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly reservations: EndpointReservations;
  readonly room: RoomRule;
  readonly handlePreempted: (
    book: EndpointState,
    run: PlacedRun,
    step: WaitingStep,
    price: PreemptionEstimate,
  ) => void;
}

/** What is to happen on one endpoint. */
interface Plan {
  /** Room left once the victims have gone and the members chosen so far are there. */
  readonly left: TaskDemand;
  readonly victims: readonly PlacedRun[];
  /** What the stops count, by the rule. */
  readonly cost: number;
  /** Tasks that find room. */
  readonly count: number;
}

/** A task is stopped for others at most so often, so that nobody is stopped over and over. */
const MAX_PREEMPTIONS = 2;
/** A run that ends by itself so soon is waited for: a stop and a new start would cost more. */
const ENDS_SOON_MS = 700;
/** Whether stops are worth their work is weighed again after so long: the answer changes with the ends of runs. */
const RECHECK_MS = 200;
const WHOLE = 100;

/**
 * Makes room for a step by stopping less urgent work that keeps checkpoints: it loses no work but the time of its restart.
 * Stops only what makes a task, or a whole gang, able to start.
 */
export class Preemptor {
  /** Wall clock less monotonic time, in milliseconds. */
  private wallOffsetMs = 0;

  constructor(private readonly options: PreemptorOptions) {}

  /** Begins a round of placement. */
  setTime(now: number, wallMs: number): void {
    this.wallOffsetMs = wallMs - now;
  }

  /** True when stopping less urgent work would make room on the endpoint for one task of the step. */
  hasRoomAfterPreemption(step: WaitingStep, book: EndpointState, demand: TaskDemand, now: number): boolean {
    return this.createPlan(step, book, demand, undefined, now) !== undefined;
  }

  /** A ticket must hold for so many milliseconds that room can be made meanwhile. */
  readTicketMs(): number {
    return this.options.room.ticketMs;
  }

  /** Begins to make room for the waiting tasks of a step on some endpoints, unless it already does. */
  startMakingRoom(step: WaitingStep, allowed: readonly EndpointState[], now: number): void {
    const { reservations, handlePreempted } = this.options;
    if (reservations.hasFor(step) || now < step.job.readRoomRetryAt(step.time, step.step)) {
      return;
    }
    const plans = this.createPlans(step, allowed, now);
    const victimCount = [...plans.values()].reduce((sum, { victims }) => sum + victims.length, 0);
    if (victimCount === 0) {
      return;
    }
    const price = this.measurePrice(step, allowed, plans, now);
    if (!this.options.room.isWorthStopping(price)) {
      step.job.recordRoomPause(step.time, step.step, now + RECHECK_MS);
      return;
    }
    step.job.recordRoomMade(step.time, step.step, now, this.options.room.retryMs);
    for (const [book, { victims }] of plans) {
      reservations.recordReservation(book.getProfile().incarnation, step, now + this.options.room.keepMs);
      for (const run of victims) {
        this.options.jobs.get(run.job)?.recordPreempted(run.task);
        handlePreempted(book, run, step, price);
      }
    }
  }

  private measurePrice(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    plans: ReadonlyMap<EndpointState, Plan>,
    now: number,
  ): PreemptionEstimate {
    const { demand, estimatedMs, isGang, maxPerEndpoint } = step.shape;
    const startCount = [...plans.values()].reduce((sum, { count }) => sum + count, 0);
    const lostCoreMs = [...plans.values()]
      .flatMap(({ victims }) => victims)
      .reduce((sum, run) => sum + measureStopCost(this.toStoppable(run, now)), 0);
    const endpoints = allowed.map((book) => ({
      free: book.getFreeCapacity(),
      holders: [...book.getRuns()].map((run) => ({
        demand: run.demand,
        remainingMs: this.readRemainingMs(run, now),
      })),
    }));
    return {
      lostCoreMs,
      roomWaitMs: measureRoomWait(
        endpoints,
        demand,
        isGang ? step.indexes.length : startCount,
        maxPerEndpoint,
      ),
      waitedMs: this.readWaitedMs(step, now),
      slackMs: step.objectiveAtMs - (now + this.wallOffsetMs) - estimatedMs,
      allowedMs: step.objectiveAtMs - step.job.definition.acceptedAtMs,
      waitingCpuMillis: startCount * demand.cpuMillis,
    };
  }

  private readWaitedMs({ job, time, step }: WaitingStep, now: number): number {
    return Object.values(job.readWait(time, step).readTimes(now)).reduce((sum, ms) => sum + ms, 0);
  }

  private readRemainingMs(run: PlacedRun, now: number): number {
    const job = this.options.jobs.get(run.job);
    const shape = job?.definition.steps[run.address.step];
    if (job === undefined || shape === undefined || shape.isLongRunning) {
      return Infinity;
    }
    const median = job.getSpeeds(run.address.time, run.address.step).getMedian();
    return measureOutlook(run, median ?? shape.estimatedMs / WHOLE, now);
  }

  private toStoppable(run: PlacedRun, now: number): Parameters<RoomRule['measureCost']>[0] {
    const shape = this.options.jobs.get(run.job)?.definition.steps[run.address.step];
    return {
      cpuMillis: run.demand.cpuMillis,
      workedMs: now - (run.checkpointedAt ?? run.confirmedAt),
      isSaving: shape?.isCheckpointing === true,
    };
  }

  /** One plan an endpoint, for as many tasks as find room; none for a gang that would not be whole. */
  private createPlans(
    step: WaitingStep,
    allowed: readonly EndpointState[],
    now: number,
  ): ReadonlyMap<EndpointState, Plan> {
    const plans = new Map<EndpointState, Plan>();
    for (let count = 0; count < step.indexes.length; count += 1) {
      let best: EndpointState | undefined;
      let bestPlan: Plan | undefined;
      for (const book of allowed) {
        const plan = this.createPlan(step, book, step.shape.demand, plans.get(book), now);
        if (plan !== undefined && (bestPlan === undefined || plan.cost < bestPlan.cost)) {
          best = book;
          bestPlan = plan;
        }
      }
      if (best === undefined || bestPlan === undefined) {
        return step.shape.isGang ? new Map() : plans;
      }
      plans.set(best, bestPlan);
    }
    return plans;
  }

  /** Extends the plan of an endpoint by one task; undefined when it has no room even then. */
  private createPlan(
    step: WaitingStep,
    book: EndpointState,
    demand: TaskDemand,
    before: Plan | undefined,
    now: number,
  ): Plan | undefined {
    let free = before?.left ?? book.getFreeCapacity();
    const earlier = before?.victims ?? [];
    let added: PlacedRun[] = [];
    if (!resourceMath.isWithin(demand, free)) {
      for (const run of this.readCandidates(step, book, now)) {
        if (!earlier.includes(run)) {
          added.push(run);
          free = resourceMath.toSum(free, run.demand);
        }
        if (resourceMath.isWithin(demand, free)) {
          break;
        }
      }
    }
    if (!resourceMath.isWithin(demand, free)) {
      return undefined;
    }
    if (this.options.room.isTrimming) {
      ({ added, free } = this.toTrimmed(added, free, demand));
    }
    const victims = [...earlier, ...added];
    const cost = added.reduce(
      (sum, run) => sum + this.options.room.measureCost(this.toStoppable(run, now)),
      before?.cost ?? 0,
    );
    const count = (before?.count ?? 0) + 1;
    return { left: resourceMath.toDifference(free, demand), victims, cost, count };
  }

  /** Leaves out runs that need not go since others, chosen after them, free enough. */
  private toTrimmed(
    victims: readonly PlacedRun[],
    free: TaskDemand,
    demand: TaskDemand,
  ): { readonly added: PlacedRun[]; readonly free: TaskDemand } {
    const added = [...victims];
    let left = free;
    for (const run of victims) {
      const without = resourceMath.toDifference(left, run.demand);
      if (resourceMath.isWithin(demand, without)) {
        added.splice(added.indexOf(run), 1);
        left = without;
      }
    }
    return { added, free: left };
  }

  /** Runs that may be stopped for the step: the least urgent first, and of these those that have done least. */
  private readCandidates(step: WaitingStep, book: EndpointState, now: number): readonly PlacedRun[] {
    const { priority } = step.job.definition.queue;
    return [...book.getRuns()]
      .filter((run) => run.priority > priority && this.isStoppable(run, now))
      .sort((left, right) => right.priority - left.priority || left.percent - right.percent);
  }

  private isStoppable(run: PlacedRun, now: number): boolean {
    const job = this.options.jobs.get(run.job);
    const shape = job?.definition.steps[run.address.step];
    if (job === undefined || shape === undefined || run.stage !== 'running' || !shape.isCheckpointing) {
      return false;
    }
    const isWhole = shape.isGang || shape.isLongRunning || shape.isFiller;
    const preemptions = job.readPreemptions(run.task);
    const hasWorked = preemptions === 0 || now - run.confirmedAt >= this.options.room.minWorkMs;
    return !isWhole && preemptions < MAX_PREEMPTIONS && hasWorked && !this.isEndingSoon(run, now);
  }

  private isEndingSoon(run: PlacedRun, now: number): boolean {
    const workedMs = now - run.confirmedAt;
    return run.percent > 0 && (workedMs * (WHOLE - run.percent)) / run.percent < ENDS_SOON_MS;
  }
}
