import type { EndpointState } from '../endpoints/EndpointState';
import type { SpeedSources } from '../placing/SpeedSources';
import type { WaitingStep } from '../waiting/WaitingStep';
import { computeLateChance } from './computeLateChance';

/** Cost of a probability 1 of being late; less than that of a rack without the step's data, where runs take longer in any case. */
const LATE_COST = 80;
/** Cost of a run time longer by a factor of e, for the most urgent queue, which benefits from completion before the objective too. */
const URGENT_SLOWDOWN_COST = 8;
/**
 * Cost of a run time shorter by a factor of e, for queues that are not the most urgent, and for gang members on endpoints faster than the
 * gang's ratio.
 */
const FAST_ENDPOINT_COST = 14;

/** Returns how many members of a gang fit in the free capacity of the endpoints of each significant ratio, the fastest first. */
const listGangCapacity = (
  step: WaitingStep,
  { endpointSpeeds, capacityView }: SpeedSources,
  endpoints: readonly EndpointState[],
): readonly (readonly [ratio: number, count: number])[] => {
  const counts = new Map<number, number>();
  for (const endpoint of endpoints) {
    const count = capacityView.countFittingTasks(endpoint.getFreeCapacity(), step.shape);
    if (count > 0) {
      const ratio = endpointSpeeds.getSignificantRatio(endpoint.getProfile());
      counts.set(ratio, (counts.get(ratio) ?? 0) + count);
    }
  }
  return [...counts].sort(([left], [right]) => left - right);
};

/**
 * Chooses the ratio for a gang's slowest member: the one of the lowest cost among those for which all members fit on endpoints of this or a
 * lower ratio. Returns undefined when they do not all fit.
 */
const chooseGangRatio = (
  step: WaitingStep,
  sources: SpeedSources,
  endpoints: readonly EndpointState[],
  computeCost: (ratio: number) => number,
): number | undefined => {
  let fitCount = 0;
  let best: number | undefined;
  let bestCost = Infinity;
  for (const [ratio, count] of listGangCapacity(step, sources, endpoints)) {
    fitCount += count;
    const cost = computeCost(ratio);
    if (fitCount >= step.indexes.length && cost < bestCost) {
      best = ratio;
      bestCost = cost;
    }
  }
  return best;
};

/**
 * Creates a function that returns the cost of placing a step's tasks on an endpoint, by the probability that the step misses its objective
 * and by the endpoint's speed. For a gang whose members all fit, the cost rises with the distance from the ratio chosen for its slowest
 * member. Costs are relative to a baseline endpoint, and cached by ratio.
 */
export const createCompletionTimeCost = (
  step: WaitingStep,
  sources: SpeedSources,
  endpoints: readonly EndpointState[],
  wallMs: number,
): ((endpoint: EndpointState) => number) => {
  const queue = step.job.getQueue();
  const runTime = sources.runTimes.getDistribution(queue.name, step.shape);
  // The run times of gangs are those of the whole gang.
  const taskCount = step.shape.isGang ? 1 : step.shape.count;
  const leftMs = step.objectiveAtMs - wallMs - step.job.getCriticalPathAfterMs(step.step);
  const isMostUrgent = sources.capacityView.isMostUrgentQueue(queue);
  const baselineChance = computeLateChance({ runTime, taskCount, ratio: 1, leftMs });
  const computeCost = (ratio: number): number => {
    const lateCost = LATE_COST * (computeLateChance({ runTime, taskCount, ratio, leftMs }) - baselineChance);
    return lateCost + (isMostUrgent ? URGENT_SLOWDOWN_COST : -FAST_ENDPOINT_COST) * Math.log(ratio);
  };
  const gangRatio = step.shape.isGang ? chooseGangRatio(step, sources, endpoints, computeCost) : undefined;
  const computeMemberCost = (ratio: number): number => {
    if (gangRatio === undefined) {
      return computeCost(ratio);
    }
    // Faster members would wait for the slowest anyway, and take fast endpoints from others; slower ones would slow the gang down.
    const distance = Math.log(ratio / gangRatio);
    return (distance > 0 ? LATE_COST : FAST_ENDPOINT_COST) * Math.abs(distance);
  };
  const costs = new Map<number, number>([[1, gangRatio === undefined ? 0 : computeMemberCost(1)]]);
  return (endpoint) => {
    const ratio = sources.endpointSpeeds.getSignificantRatio(endpoint.getProfile());
    const known = costs.get(ratio);
    if (known !== undefined) {
      return known;
    }
    const cost = computeMemberCost(ratio);
    costs.set(ratio, cost);
    return cost;
  };
};
