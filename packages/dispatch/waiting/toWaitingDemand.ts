import { demandSums } from '../../jobs/demandSums';
import { toCountedDemand } from '../../jobs/toCountedDemand';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** Room that the waiting tasks of a step would take together; fillers take no processor time. */
export const toWaitingDemand = ({ shape, indexes }: WaitingStep): TaskDemand =>
  demandSums.toScaled(toCountedDemand(shape), indexes.length);
