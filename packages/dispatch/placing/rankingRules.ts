import type { EndpointState } from '../endpoints/EndpointState';
import type { RankingRule } from './RankingRule';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Cost of an endpoint on which a run of the step failed, or from which one was moved. */
const FAILED_ON_ENDPOINT_COST = 1000;
/** Cost of a degraded endpoint. */
const DEGRADED_ENDPOINT_COST = 500;
/** Cost of an endpoint outside of the rack that has the data of the step. */
const OUTSIDE_DATA_RACK_COST = 100;
/** Cost of an endpoint for a filler for each serving run there. */
const SERVING_NEIGHBOUR_COST = 50;

/** Returns the cost of an endpoint on which a run of the step failed, or from which one was moved, plus that of a degraded one. */
const computeFailureCost = (
  { job, repetition, step }: WaitingStep,
  endpoint: EndpointState,
  now: number,
): number => {
  const failedHere = job.hasStepFailureOn(repetition, step, endpoint.getProfile().incarnation)
    ? FAILED_ON_ENDPOINT_COST
    : 0;
  return failedHere + (endpoint.isDegraded(now) ? DEGRADED_ENDPOINT_COST : 0);
};

/** Returns the cost of an endpoint outside of the rack that has the data of the step; 0 for a step without such a rack. */
const computeDataLocalityCost = ({ shape }: WaitingStep, endpoint: EndpointState): number =>
  shape.dataRack !== '' && !endpoint.getProfile().labels.includes(shape.dataRack)
    ? OUTSIDE_DATA_RACK_COST
    : 0;

const computeShare = (free: number, whole: number): number => (whole === 0 ? 1 : free / whole);

/** Returns the free share of an endpoint's scarcest resource, 0 to 1. */
const computeFreeShare = (endpoint: EndpointState): number => {
  const { capacity } = endpoint.getProfile();
  const free = endpoint.getFreeCapacity();
  return Math.min(
    computeShare(free.cpuMillis, capacity.cpuMillis),
    computeShare(free.memoryMb, capacity.memoryMb),
    computeShare(free.accelerators, capacity.accelerators),
  );
};

const computeCommonCost = (step: WaitingStep, endpoint: EndpointState, now: number): number =>
  computeFailureCost(step, endpoint, now) + computeDataLocalityCost(step, endpoint);

const countServingRuns = (endpoint: EndpointState): number => {
  let count = 0;
  for (const run of endpoint.getRuns()) {
    count += run.isServing ? 1 : 0;
  }
  return count;
};

/** Ranking rules by kind of step. `batch` packs tasks onto the endpoints with the smallest free share. */
export const rankingRules: Readonly<Record<'batch' | 'serving' | 'filler', RankingRule>> = {
  batch: {
    computeCost: (step, endpoint, now) => computeCommonCost(step, endpoint, now) + computeFreeShare(endpoint),
  },
  // Prefers the endpoints with the largest free share, so that replicas spread and the loss of one endpoint affects few.
  serving: {
    computeCost: (step, endpoint, now) => computeCommonCost(step, endpoint, now) - computeFreeShare(endpoint),
  },
  // Prefers endpoints with few serving runs, which fillers slow down, then those with the largest free share.
  filler: {
    computeCost: (step, endpoint, now) =>
      computeCommonCost(step, endpoint, now) +
      SERVING_NEIGHBOUR_COST * countServingRuns(endpoint) -
      computeFreeShare(endpoint),
  },
};
