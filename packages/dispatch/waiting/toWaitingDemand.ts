import { demandSums } from '../../jobs/demandSums';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** Room that the waiting tasks of a step would take together; fillers take no processor time. */
export const toWaitingDemand = ({ shape, indexes }: WaitingStep): TaskDemand => {
  const demand = shape.isFiller ? { ...shape.demand, cpuMillis: 0 } : shape.demand;
  return demandSums.toScaled(demand, indexes.length);
};
