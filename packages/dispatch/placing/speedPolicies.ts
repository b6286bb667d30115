import type { EndpointState } from '../endpoints/EndpointState';
import { createCompletionTimeCost } from '../speeds/createCompletionTimeCost';
import type { WaitingStep } from '../waiting/WaitingStep';
import type { SpeedPolicyName } from './SpeedPolicyName';
import type { SpeedSources } from './SpeedSources';

type CostFunction = (endpoint: EndpointState) => number;
type CreateCostFunction = (
  step: WaitingStep,
  sources: SpeedSources,
  endpoints: readonly EndpointState[],
  wallMs: number,
) => CostFunction;

/** Cost of a slowdown of 2. A tenth of it outweighs packing, which costs at most 1; all of it doesn't outweigh another rack, 100. */
const DOUBLE_SLOWDOWN_COST = 20;
/** Slowdowns are rounded to multiples of this, so that random differences don't count. */
const SLOWDOWN_STEP = 0.1;

const createKindCost: CreateCostFunction = (step, { kindSpeeds, capacity }) => {
  const isMostUrgent = capacity.isMostUrgentQueue(step.job.definition.queue);
  return (endpoint) => {
    const slowdown = kindSpeeds.getSlowdown(endpoint.getProfile().labels);
    const cost = DOUBLE_SLOWDOWN_COST * SLOWDOWN_STEP * Math.round((slowdown - 1) / SLOWDOWN_STEP);
    return isMostUrgent ? cost : -cost;
  };
};

/** Cost functions of a step over the endpoints that may run it, at a wall clock time, by policy. */
export const speedPolicies: Readonly<Record<SpeedPolicyName, CreateCostFunction>> = {
  blind: () => () => 0,
  kinds: createKindCost,
  endpoints: createCompletionTimeCost,
};
