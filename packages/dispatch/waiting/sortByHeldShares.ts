import type { CustomerName } from '../../customers/CustomerName';
import type { TaskDemand } from '../../jobs/TaskDemand';
import { computeMaxUsefulLatencyMs } from '../../jobs/computeMaxUsefulLatencyMs';
import type { FairShares } from '../../load/FairShares';
import { computeDominantShare } from '../../load/computeDominantShare';
import { computeFairShares } from '../../load/computeFairShares';
import type { PlacementOrderInput } from './PlacementOrderInput';
import { computeWaitingDemand } from './computeWaitingDemand';
import type { WaitingStep } from './WaitingStep';

/** A waiting step and its sort keys. */
interface RankedStep {
  readonly step: WaitingStep;
  readonly priority: number;
  readonly timeliness: number;
  /** Wall clock time by which it has to start to meet its objective, or, if it is late, to be useful. */
  readonly startByMs: number;
  /** Dominant share of its waiting tasks, 0 to 1. */
  readonly share: number;
  isOverShare: boolean;
}

/** Sort keys of steps that can meet their objective, that are late but useful to their callers, and that are neither. */
const TIMELINESS = { inTime: 0, late: 1, expired: 2 } as const;
/** Share of callers' run time estimates that counts as certain, so that work isn't treated as late because of a long estimate. */
const CERTAIN_SHARE = 0.1;
/** Expired steps go first in one of this many time slices, so that they aren't starved by newer work. */
const EXPIRED_FIRST_INTERVAL = 8;
/** Longer than a round of placement, short compared to objectives. */
const SLICE_MS = 100;

const getWeightedCustomer = ({ job }: WaitingStep): { name: CustomerName; weight: number } | undefined => {
  const { customer } = job.definition;
  return customer === undefined || customer.weight === 0 ? undefined : customer;
};

const estimateCertainMs = ({ job, step }: WaitingStep): number => job.getCriticalPathMs(step) * CERTAIN_SHARE;

const createRankedStep = (
  step: WaitingStep,
  capacity: TaskDemand,
  input: PlacementOrderInput,
): RankedStep => {
  const { job, repetition: time, objectiveAtMs } = step;
  const remainingMs = (input.estimateMinRemainingMs ?? estimateCertainMs)(step);
  const startedAtMs = Math.max(job.definition.acceptedAtMs, job.getDueAtMs(time));
  const usefulUntilMs = startedAtMs + computeMaxUsefulLatencyMs(objectiveAtMs - startedAtMs);
  const isInTime = input.wallMs + remainingMs <= objectiveAtMs;
  const isUseful = input.wallMs + remainingMs <= usefulUntilMs;
  return {
    step,
    priority: job.definition.queue.priority,
    timeliness: isInTime ? TIMELINESS.inTime : isUseful ? TIMELINESS.late : TIMELINESS.expired,
    startByMs: (isInTime ? objectiveAtMs : usefulUntilMs) - remainingMs,
    share: computeDominantShare(computeWaitingDemand(step), capacity),
    isOverShare: false,
  };
};

/** Returns the fair share of each customer with waiting steps, of the capacity that isn't held by the other customers. */
const computeCustomerShares = (
  ranked: readonly RankedStep[],
  held: ReadonlyMap<CustomerName, number>,
): FairShares => {
  const wanted = new Map<CustomerName, { weight: number; demandedShare: number }>();
  for (const { step, share } of ranked) {
    const customer = getWeightedCustomer(step);
    if (customer !== undefined) {
      const before = wanted.get(customer.name)?.demandedShare ?? held.get(customer.name) ?? 0;
      wanted.set(customer.name, { weight: customer.weight, demandedShare: before + share });
    }
  }
  const others = [...held].reduce((sum, [name, share]) => sum + (wanted.has(name) ? 0 : share), 0);
  const demands = [...wanted].map(([customer, demand]) => ({ customer, ...demand }));
  return computeFairShares(demands, Math.max(0, 1 - others));
};

/**
 * Marks the steps that begin over their customer's fair share, counting the customer's running tasks and its earlier steps. Each
 * priority is counted separately, so that a gang that waits long for capacity doesn't use up the share of its customer's other work.
 */
const updateOverShare = (
  ranked: readonly RankedStep[],
  { usage }: PlacementOrderInput,
  capacity: TaskDemand,
): void => {
  const held = new Map<CustomerName, number>();
  for (const [name, { taken }] of usage.getAllUsages()) {
    held.set(name, computeDominantShare(taken, capacity));
  }
  const fairShares = computeCustomerShares(ranked, held);
  const counted = new Map<number, Map<CustomerName, number>>();
  for (const entry of ranked) {
    const name = getWeightedCustomer(entry.step)?.name;
    if (name === undefined) {
      continue;
    }
    const shares = counted.get(entry.priority) ?? new Map(held);
    const share = shares.get(name) ?? 0;
    entry.isOverShare = share >= fairShares.get(name)!;
    counted.set(entry.priority, shares.set(name, share + entry.share));
  }
};

const isExpiredFirst = (wallMs: number): boolean =>
  Math.floor(wallMs / SLICE_MS) % EXPIRED_FIRST_INTERVAL === 0;

const compareByTime = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority || left.timeliness - right.timeliness || left.startByMs - right.startByMs;

const compareByShare = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority ||
  left.timeliness - right.timeliness ||
  Number(left.isOverShare) - Number(right.isOverShare) ||
  left.startByMs - right.startByMs;

/** Puts expired steps first within a priority. */
const compareExpiredFirst = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority ||
  Number(right.timeliness === TIMELINESS.expired) - Number(left.timeliness === TIMELINESS.expired) ||
  compareByShare(left, right);

/**
 * Sorts by priority, then by whether a step can be in time or still useful, then by whether its customer is over its fair share, then
 * by the latest start time.
 */
export const sortByHeldShares = (
  waiting: readonly WaitingStep[],
  input: PlacementOrderInput,
): readonly WaitingStep[] => {
  const capacity = input.getCapacity();
  const ranked = waiting.map((step) => createRankedStep(step, capacity, input)).sort(compareByTime);
  updateOverShare(ranked, input, capacity);
  ranked.sort(isExpiredFirst(input.wallMs) ? compareExpiredFirst : compareByShare);
  return ranked.map(({ step }) => step);
};
