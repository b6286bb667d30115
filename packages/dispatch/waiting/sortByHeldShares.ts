import type { CustomerName } from '../../customers/CustomerName';
import type { TaskDemand } from '../../jobs/TaskDemand';
import { computeMaxUsefulLatencyMs } from '../../jobs/computeMaxUsefulLatencyMs';
import type { FairShares } from '../../load/FairShares';
import { computeDominantShare } from '../../load/computeDominantShare';
import { computeFairShares } from '../../load/computeFairShares';
import type { PlacementOrderInput } from './PlacementOrderInput';
import { computeWaitingDemand } from './computeWaitingDemand';
import type { WaitingStep } from './WaitingStep';

/** A waiting step and the keys by which it is sorted. */
interface RankedStep {
  readonly step: WaitingStep;
  readonly priority: number;
  /** One of `TIMELINESS`. */
  readonly timeliness: number;
  /** Wall clock time by which the step has to start to meet its objective or, if it can't any more, to be still useful. */
  readonly startByMs: number;
  /** Dominant share of the total capacity that its waiting tasks demand; 1 for all of it. */
  readonly demandedShare: number;
  /** The customer has reached its fair share already without this step. Set by `updateOverShareFlags`. */
  isOverShare: boolean;
}

/** Sort keys of steps that can meet their objective, that can't but are still useful to their callers, and that are neither. */
const TIMELINESS = { inTime: 0, late: 1, expired: 2 } as const;
/** Share of callers' estimates that is used as a lower bound, so that a step isn't treated as late because of a long estimate. */
const CERTAIN_ESTIMATE_SHARE = 0.1;
/** Expired steps go first in one of this many time slices, so that they still start while newer steps keep coming. */
const EXPIRED_FIRST_SLICE_INTERVAL = 8;
/** Length of a time slice: longer than a round of placement, and short compared to objectives. */
const TIME_SLICE_MS = 100;

/** Returns the customer of a step; undefined when the step has none, or one with a weight of 0. */
const getWeightedCustomer = ({ job }: WaitingStep): { name: CustomerName; weight: number } | undefined => {
  const { customer } = job.definition;
  return customer === undefined || customer.weight === 0 ? undefined : customer;
};

/** Returns a lower bound of the time from the start of a step to the end of its job, in milliseconds. */
const estimateCertainRemainingMs = ({ job, step }: WaitingStep): number =>
  job.getCriticalPathMs(step) * CERTAIN_ESTIMATE_SHARE;

const createRankedStep = (
  step: WaitingStep,
  capacity: TaskDemand,
  input: PlacementOrderInput,
): RankedStep => {
  const { job, repetition, objectiveAtMs } = step;
  const remainingMs = (input.estimateMinRemainingMs ?? estimateCertainRemainingMs)(step);
  const startedAtMs = Math.max(job.definition.acceptedAtMs, job.getDueAtMs(repetition));
  const usefulUntilMs = startedAtMs + computeMaxUsefulLatencyMs(objectiveAtMs - startedAtMs);
  const isInTime = input.wallMs + remainingMs <= objectiveAtMs;
  const isUseful = input.wallMs + remainingMs <= usefulUntilMs;
  return {
    step,
    priority: job.getQueue().priority,
    timeliness: isInTime ? TIMELINESS.inTime : isUseful ? TIMELINESS.late : TIMELINESS.expired,
    startByMs: (isInTime ? objectiveAtMs : usefulUntilMs) - remainingMs,
    demandedShare: computeDominantShare(computeWaitingDemand(step), capacity),
    isOverShare: false,
  };
};

/**
 * Returns the fair share of each weighted customer with waiting steps. These customers share the capacity that isn't used by customers without
 * waiting steps; `usedShares` is the dominant share that each customer uses now.
 */
const computeCustomerShares = (
  ranked: readonly RankedStep[],
  usedShares: ReadonlyMap<CustomerName, number>,
): FairShares => {
  const demandsByCustomer = new Map<CustomerName, { weight: number; demandedShare: number }>();
  for (const { step, demandedShare: share } of ranked) {
    const customer = getWeightedCustomer(step);
    if (customer !== undefined) {
      const before =
        demandsByCustomer.get(customer.name)?.demandedShare ?? usedShares.get(customer.name) ?? 0;
      demandsByCustomer.set(customer.name, { weight: customer.weight, demandedShare: before + share });
    }
  }
  const nonWaitingUsedShare = [...usedShares].reduce(
    (sum, [name, share]) => sum + (demandsByCustomer.has(name) ? 0 : share),
    0,
  );
  const demands = [...demandsByCustomer].map(([customer, demand]) => ({ customer, ...demand }));
  return computeFairShares(demands, Math.max(0, 1 - nonWaitingUsedShare));
};

/**
 * Sets `isOverShare` of each step whose customer reaches its fair share by its usage and its earlier steps in the list. Each priority is
 * counted separately, so that a gang that waits long for capacity doesn't use up the share of the customer's other work.
 */
const updateOverShareFlags = (
  ranked: readonly RankedStep[],
  { usage }: PlacementOrderInput,
  capacity: TaskDemand,
): void => {
  const usedShares = new Map<CustomerName, number>();
  for (const [name, { taken }] of usage.getAllUsages()) {
    usedShares.set(name, computeDominantShare(taken, capacity));
  }
  const fairShares = computeCustomerShares(ranked, usedShares);
  const sharesByPriority = new Map<number, Map<CustomerName, number>>();
  for (const entry of ranked) {
    const name = getWeightedCustomer(entry.step)?.name;
    if (name === undefined) {
      continue;
    }
    const shares = sharesByPriority.get(entry.priority) ?? new Map(usedShares);
    const share = shares.get(name) ?? 0;
    entry.isOverShare = share >= fairShares.get(name)!;
    sharesByPriority.set(entry.priority, shares.set(name, share + entry.demandedShare));
  }
};

/** Returns whether a wall clock time is in a time slice in which expired steps go first. */
const isExpiredFirstSlice = (wallMs: number): boolean =>
  Math.floor(wallMs / TIME_SLICE_MS) % EXPIRED_FIRST_SLICE_INTERVAL === 0;

/** Compares by priority, then by timeliness, then by latest start time. */
const compareByUrgency = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority || left.timeliness - right.timeliness || left.startByMs - right.startByMs;

/** Compares as `compareByUrgency`, but puts steps over their share last before it compares the latest start time. */
const compareByUrgencyAndShare = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority ||
  left.timeliness - right.timeliness ||
  Number(left.isOverShare) - Number(right.isOverShare) ||
  left.startByMs - right.startByMs;

/** Compares as `compareByUrgencyAndShare`, but puts expired steps first within a priority. */
const compareExpiredFirst = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority ||
  Number(right.timeliness === TIMELINESS.expired) - Number(left.timeliness === TIMELINESS.expired) ||
  compareByUrgencyAndShare(left, right);

/**
 * Sorts waiting steps by priority, then by whether they can be in time or still useful, then by whether their customer is over its fair
 * share, then by latest start time. In some time slices expired steps go first within a priority.
 */
export const sortByHeldShares = (
  waiting: readonly WaitingStep[],
  input: PlacementOrderInput,
): readonly WaitingStep[] => {
  const capacity = input.getTotalCapacity();
  const ranked = waiting.map((step) => createRankedStep(step, capacity, input)).sort(compareByUrgency);
  updateOverShareFlags(ranked, input, capacity);
  ranked.sort(isExpiredFirstSlice(input.wallMs) ? compareExpiredFirst : compareByUrgencyAndShare);
  return ranked.map(({ step }) => step);
};
