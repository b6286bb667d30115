import type { CustomerName } from '../../customers/CustomerName';
import type { TaskDemand } from '../../jobs/TaskDemand';
import { computeMaxUsefulMs } from '../../jobs/computeMaxUsefulMs';
import type { FairShares } from '../../load/FairShares';
import { computeDominantShare } from '../../load/computeDominantShare';
import { computeFairShares } from '../../load/computeFairShares';
import type { OrderInput } from './OrderInput';
import { computeWaitingDemand } from './computeWaitingDemand';
import type { WaitingStep } from './WaitingStep';

/** A waiting step with what it is sorted by, worked out once a round. */
interface RankedStep {
  readonly step: WaitingStep;
  readonly priority: number;
  readonly timeliness: number;
  /** Wall clock time by which it has to start; of late work, to be of use at all. */
  readonly startByMs: number;
  /** Dominant share of its waiting tasks. */
  readonly share: number;
  isBeyond: boolean;
}

/** What still can be in time, what is late but of use to its caller, and the rest. The lowest goes first. */
const TIMELINESS = { inTime: 0, late: 1, useless: 2 } as const;
/** Callers' guesses of run times may be nine tenths too long: no work is given up as late for a guess. */
const CERTAIN_PART = 0.1;
/** Once in so many turns what is past its use goes first: it was promised, and gets room however much newer work there is. */
const LATE_TURN_EVERY = 8;
/** A turn lasts longer than a round, and is short beside any objective. */
const TURN_MS = 100;

const readShareholder = ({ job }: WaitingStep): { name: CustomerName; weight: number } | undefined => {
  const { customer } = job.definition;
  return customer === undefined || customer.weight === 0 ? undefined : customer;
};

const readCertainMs = ({ job, step }: WaitingStep): number => job.getCriticalPathMs(step) * CERTAIN_PART;

const toRanked = (step: WaitingStep, capacity: TaskDemand, input: OrderInput): RankedStep => {
  const { job, time, objectiveAtMs } = step;
  const remainingMs = (input.readRemainingMs ?? readCertainMs)(step);
  const startedAtMs = Math.max(job.definition.acceptedAtMs, job.getDueAtMs(time));
  const usefulUntilMs = startedAtMs + computeMaxUsefulMs(objectiveAtMs - startedAtMs);
  const isInTime = input.wallMs + remainingMs <= objectiveAtMs;
  const isUseful = input.wallMs + remainingMs <= usefulUntilMs;
  return {
    step,
    priority: job.definition.queue.priority,
    timeliness: isInTime ? TIMELINESS.inTime : isUseful ? TIMELINESS.late : TIMELINESS.useless,
    startByMs: (isInTime ? objectiveAtMs : usefulUntilMs) - remainingMs,
    share: computeDominantShare(computeWaitingDemand(step), capacity),
    isBeyond: false,
  };
};

/** What each customer that waits is owed beside what those hold that have nothing waiting. */
const readOwed = (ranked: readonly RankedStep[], held: ReadonlyMap<CustomerName, number>): FairShares => {
  const wanted = new Map<CustomerName, { weight: number; demandedShare: number }>();
  for (const { step, share } of ranked) {
    const customer = readShareholder(step);
    if (customer !== undefined) {
      const before = wanted.get(customer.name)?.demandedShare ?? held.get(customer.name) ?? 0;
      wanted.set(customer.name, { weight: customer.weight, demandedShare: before + share });
    }
  }
  const others = [...held].reduce((sum, [name, share]) => sum + (wanted.has(name) ? 0 : share), 0);
  const claims = [...wanted].map(([customer, claim]) => ({ customer, ...claim }));
  return computeFairShares(claims, Math.max(0, 1 - others));
};

/**
 * Marks what goes beyond its customer's share, each customer's steps counted in their own order, so that one round cannot take it all. Each priority
 * is counted for itself: what waits long for room, as a gang may, must not use up the share of its customer's other work.
 */
const recordBeyond = (ranked: readonly RankedStep[], { usage }: OrderInput, capacity: TaskDemand): void => {
  const held = new Map<CustomerName, number>();
  for (const [name, { taken }] of usage.getAll()) {
    held.set(name, computeDominantShare(taken, capacity));
  }
  const owed = readOwed(ranked, held);
  const counted = new Map<number, Map<CustomerName, number>>();
  for (const entry of ranked) {
    const name = readShareholder(entry.step)?.name;
    if (name === undefined) {
      continue;
    }
    const shares = counted.get(entry.priority) ?? new Map(held);
    const share = shares.get(name) ?? 0;
    entry.isBeyond = share >= owed.get(name)!;
    counted.set(entry.priority, shares.set(name, share + entry.share));
  }
};

const isLateTurn = (wallMs: number): boolean => Math.floor(wallMs / TURN_MS) % LATE_TURN_EVERY === 0;

const measureByTime = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority || left.timeliness - right.timeliness || left.startByMs - right.startByMs;

const measureByShare = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority ||
  left.timeliness - right.timeliness ||
  Number(left.isBeyond) - Number(right.isBeyond) ||
  left.startByMs - right.startByMs;

/** What is past its use first, the oldest before others, so that nothing waits without end. */
const measureInLateTurn = (left: RankedStep, right: RankedStep): number =>
  left.priority - right.priority ||
  Number(right.timeliness === TIMELINESS.useless) - Number(left.timeliness === TIMELINESS.useless) ||
  measureByShare(left, right);

/**
 * Sorts by priority, then by whether a step can still be in time or of use, then by whether its customer holds its share, then by the time by
 * which it has to start.
 */
export const toHeldOrder = (waiting: readonly WaitingStep[], input: OrderInput): readonly WaitingStep[] => {
  const capacity = input.readCapacity();
  const ranked = waiting.map((step) => toRanked(step, capacity, input)).sort(measureByTime);
  recordBeyond(ranked, input, capacity);
  ranked.sort(isLateTurn(input.wallMs) ? measureInLateTurn : measureByShare);
  return ranked.map(({ step }) => step);
};
