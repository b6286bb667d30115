import type { EndpointState } from '../endpoints/EndpointState';
import { createCompletionTimeCost } from '../speeds/createCompletionTimeCost';
import type { WaitingStep } from '../waiting/WaitingStep';
import type { SpeedPolicyName } from './SpeedPolicyName';
import type { SpeedSources } from './SpeedSources';

type EndpointCostFunction = (endpoint: EndpointState) => number;
type CostFunctionFactory = (
  step: WaitingStep,
  sources: SpeedSources,
  endpoints: readonly EndpointState[],
  wallMs: number,
) => EndpointCostFunction;

/** Cost of a slowdown of 2; less than that of a rack without the data of the step. */
const DOUBLE_SLOWDOWN_COST = 20;
/** Slowdowns are rounded to multiples of this, so that small random differences cost nothing. */
const SLOWDOWN_ROUNDING_STEP = 0.1;

/** Creates a cost function by which the most urgent queue prefers fast kinds of endpoints, and all others slow kinds. */
const createKindSlowdownCost: CostFunctionFactory = (step, { labelSlowdowns, capacityView }) => {
  const isMostUrgent = capacityView.isMostUrgentQueue(step.job.getQueue());
  return (endpoint) => {
    const slowdown = labelSlowdowns.getSlowdown(endpoint.getProfile().labels);
    const cost =
      DOUBLE_SLOWDOWN_COST * SLOWDOWN_ROUNDING_STEP * Math.round((slowdown - 1) / SLOWDOWN_ROUNDING_STEP);
    return isMostUrgent ? cost : -cost;
  };
};

/** Functions that create the speed cost function of a step, from the endpoints that may run it and the wall clock time; by policy. */
export const speedPolicies: Readonly<Record<SpeedPolicyName, CostFunctionFactory>> = {
  blind: () => () => 0,
  kinds: createKindSlowdownCost,
  endpoints: createCompletionTimeCost,
};
