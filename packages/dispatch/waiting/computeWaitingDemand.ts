import { resourceMath } from '../../jobs/resourceMath';
import { toReservedDemand } from '../../jobs/toReservedDemand';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** Room that the waiting tasks of a step would take together; fillers take no processor time. */
export const computeWaitingDemand = ({ shape, indexes }: WaitingStep): TaskDemand =>
  resourceMath.toScaled(toReservedDemand(shape), indexes.length);
