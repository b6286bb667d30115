import { resourceMath } from '../../jobs/resourceMath';
import { toReservedDemand } from '../../jobs/toReservedDemand';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** Returns the total demand of a step's waiting tasks. Fillers count without processor time. */
export const computeWaitingDemand = ({ shape, indexes }: WaitingStep): TaskDemand =>
  resourceMath.computeProduct(toReservedDemand(shape), indexes.length);
