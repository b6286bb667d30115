import type { EndpointBook } from '../endpoints/EndpointBook';
import { createExpectedEndCost } from '../speeds/createExpectedEndCost';
import type { WaitingStep } from '../waiting/WaitingStep';
import type { SpeedChoice } from './SpeedChoice';
import type { SpeedSources } from './SpeedSources';

type CostOf = (book: EndpointBook) => number;
type CreateCostOf = (
  step: WaitingStep,
  sources: SpeedSources,
  endpoints: readonly EndpointBook[],
  wallMs: number,
) => CostOf;

/** Cost of a kind on which runs take twice as long: a tenth of that outweighs packing (at most 1), and no rack with the data (100). */
const SPEED_COST = 20;
/** Kinds that differ by less are taken for the same: so much is chance. */
const RATIO_STEP = 0.1;

const createKindCost: CreateCostOf = (step, { kinds, room }) => {
  const isMostUrgent = room.isMostUrgent(step.job.definition.queue);
  return (book) => {
    const ratio = kinds.readRatio(book.readProfile().labels);
    const cost = SPEED_COST * RATIO_STEP * Math.round((ratio - 1) / RATIO_STEP);
    return isMostUrgent ? cost : -cost;
  };
};

/** Ways of counting speeds: each gives the costs for a step of the endpoints that it may have, at a wall clock time. */
export const speedChoices: Readonly<Record<SpeedChoice, CreateCostOf>> = {
  blind: () => () => 0,
  kinds: createKindCost,
  endpoints: createExpectedEndCost,
};
