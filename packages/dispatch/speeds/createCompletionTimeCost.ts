import type { EndpointState } from '../endpoints/EndpointState';
import type { SpeedSources } from '../placing/SpeedSources';
import type { WaitingStep } from '../waiting/WaitingStep';
import { measureLateChance } from './measureLateChance';

/** Cost of being late for sure: less than a rack without the data (100), where work takes longer for sure. */
const LATE_COST = 80;
/** Cost for the most urgent work of a time that is e times as long: an end that comes sooner is better also within the objective. */
const SLOW_COST = 8;
/** Cost for other work of an endpoint that is e times as fast: a chance of being late that is higher by a sixth is borne for it. */
const FAST_COST = 14;

/** How many members of a gang find room at each known ratio, the fastest first. */
const readGangRoom = (
  step: WaitingStep,
  { speeds, room }: SpeedSources,
  endpoints: readonly EndpointState[],
): readonly (readonly [ratio: number, count: number])[] => {
  const counts = new Map<number, number>();
  for (const book of endpoints) {
    const count = room.countFittingTasks(book.getFreeCapacity(), step.shape);
    if (count > 0) {
      const ratio = speeds.getSignificantRatio(book.getProfile());
      counts.set(ratio, (counts.get(ratio) ?? 0) + count);
    }
  }
  return [...counts].sort(([left], [right]) => left - right);
};

/**
 * A gang runs at its slowest member: the ratio that costs least among those up to which all members find room. Undefined when no
 * endpoints have room for all.
 */
const chooseGangRatio = (
  step: WaitingStep,
  sources: SpeedSources,
  endpoints: readonly EndpointState[],
  measureCost: (ratio: number) => number,
): number | undefined => {
  let room = 0;
  let best: number | undefined;
  let bestCost = Infinity;
  for (const [ratio, count] of readGangRoom(step, sources, endpoints)) {
    room += count;
    const cost = measureCost(ratio);
    if (room >= step.indexes.length && cost < bestCost) {
      best = ratio;
      bestCost = cost;
    }
  }
  return best;
};

/**
 * Costs of endpoints by the expected end of a step's tasks there. The chance of being late counts first; what bears a slow endpoint
 * leaves fast ones to the most urgent. All are differences from a usual endpoint, which costs 0.
 */
export const createCompletionTimeCost = (
  step: WaitingStep,
  sources: SpeedSources,
  endpoints: readonly EndpointState[],
  wallMs: number,
): ((book: EndpointState) => number) => {
  const { definition } = step.job;
  const usual = sources.times.readUsual(definition.queue.name, step.shape);
  // A gang is known as a whole.
  const count = step.shape.isGang ? 1 : step.shape.count;
  const leftMs = step.objectiveAtMs - wallMs - step.job.getCriticalPathAfterMs(step.step);
  const isMostUrgent = sources.room.isMostUrgent(definition.queue);
  const usualChance = measureLateChance({ usual, count, ratio: 1, leftMs });
  const measureCost = (ratio: number): number => {
    const lateCost = LATE_COST * (measureLateChance({ usual, count, ratio, leftMs }) - usualChance);
    return lateCost + (isMostUrgent ? SLOW_COST : -FAST_COST) * Math.log(ratio);
  };
  const gangRatio = step.shape.isGang ? chooseGangRatio(step, sources, endpoints, measureCost) : undefined;
  const measureMemberCost = (ratio: number): number => {
    if (gangRatio === undefined) {
      return measureCost(ratio);
    }
    // Members that would wait for slower ones anyway leave fast endpoints to others; slower ones would hold all up.
    const distance = Math.log(ratio / gangRatio);
    return (distance > 0 ? LATE_COST : FAST_COST) * Math.abs(distance);
  };
  const costs = new Map<number, number>([[1, gangRatio === undefined ? 0 : measureMemberCost(1)]]);
  return (book) => {
    const ratio = sources.speeds.getSignificantRatio(book.getProfile());
    const known = costs.get(ratio);
    if (known !== undefined) {
      return known;
    }
    const cost = measureMemberCost(ratio);
    costs.set(ratio, cost);
    return cost;
  };
};
