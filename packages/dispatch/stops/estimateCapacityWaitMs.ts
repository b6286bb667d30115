import { resourceMath } from '../../jobs/resourceMath';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { CapacityHolder } from './CapacityHolder';

/** An endpoint that may run the tasks: its free capacity, and the runs that take the rest of its capacity. */
interface OccupiedEndpoint {
  readonly freeCapacity: TaskDemand;
  readonly capacityHolders: readonly CapacityHolder[];
}

/** Returns, for each task that will fit on an endpoint as its runs end, the time until then in milliseconds; ascending. */
const estimateFitTimesMs = (
  { freeCapacity, capacityHolders }: OccupiedEndpoint,
  demand: TaskDemand,
  maxPerEndpoint: number,
): readonly number[] => {
  const fitTimesMs: number[] = [];
  let remaining = freeCapacity;
  let waitMs = 0;
  const recordFits = (): void => {
    while (fitTimesMs.length < maxPerEndpoint && resourceMath.isWithin(demand, remaining)) {
      remaining = resourceMath.computeDifference(remaining, demand);
      fitTimesMs.push(waitMs);
    }
  };
  recordFits();
  for (const holder of [...capacityHolders].sort((left, right) => left.remainingMs - right.remainingMs)) {
    remaining = resourceMath.computeSum(remaining, holder.demand);
    waitMs = holder.remainingMs;
    recordFits();
  }
  return fitTimesMs;
};

/**
 * Returns the estimated time until `count` tasks fit on the endpoints together as runs end by themselves, in milliseconds; Infinity when
 * they never fit. At most `mostPerEndpoint` tasks go on one endpoint; 0 means no limit.
 */
export const estimateCapacityWaitMs = (
  endpoints: readonly OccupiedEndpoint[],
  demand: TaskDemand,
  count: number,
  mostPerEndpoint: number,
): number => {
  const maxPerEndpoint = mostPerEndpoint === 0 ? count : mostPerEndpoint;
  const fitTimesMs = endpoints.flatMap((endpoint) => estimateFitTimesMs(endpoint, demand, maxPerEndpoint));
  return fitTimesMs.sort((left, right) => left - right)[count - 1] ?? Infinity;
};
