import type { EndpointState } from '../endpoints/EndpointState';
import { createCompletionTimeCost } from '../speeds/createCompletionTimeCost';
import type { WaitingStep } from '../waiting/WaitingStep';
import type { SpeedPolicyName } from './SpeedPolicyName';
import type { SpeedSources } from './SpeedSources';

type CostOf = (book: EndpointState) => number;
type CreateCostOf = (
  step: WaitingStep,
  sources: SpeedSources,
  endpoints: readonly EndpointState[],
  wallMs: number,
) => CostOf;

/** Cost of a kind on which runs take twice as long: a tenth of that outweighs packing (at most 1), and no rack with the data (100). */
const SPEED_COST = 20;
/** Kinds that differ by less are taken for the same: so much is chance. */
const RATIO_STEP = 0.1;

const createKindCost: CreateCostOf = (step, { kinds, room }) => {
  const isMostUrgent = room.isMostUrgent(step.job.definition.queue);
  return (book) => {
    const ratio = kinds.getSlowdown(book.getProfile().labels);
    const cost = SPEED_COST * RATIO_STEP * Math.round((ratio - 1) / RATIO_STEP);
    return isMostUrgent ? cost : -cost;
  };
};

/** Ways of counting speeds: each gives the costs for a step of the endpoints that it may have, at a wall clock time. */
export const speedPolicies: Readonly<Record<SpeedPolicyName, CreateCostOf>> = {
  blind: () => () => 0,
  kinds: createKindCost,
  endpoints: createCompletionTimeCost,
};
