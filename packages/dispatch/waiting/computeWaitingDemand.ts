import { resourceMath } from '../../jobs/resourceMath';
import { toReservedDemand } from '../../jobs/toReservedDemand';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** Returns the sum of the resources that the waiting tasks of a step reserve. Fillers reserve no processor time. */
export const computeWaitingDemand = ({ shape, indexes }: WaitingStep): TaskDemand =>
  resourceMath.computeProduct(toReservedDemand(shape), indexes.length);
