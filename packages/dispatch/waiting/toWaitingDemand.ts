import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from './WaitingStep';

/** Room that the waiting tasks of a step would take together; fillers take no processor time. */
export const toWaitingDemand = ({ shape, indexes }: WaitingStep): TaskDemand => ({
  cpuMillis: shape.isFiller ? 0 : shape.demand.cpuMillis * indexes.length,
  memoryMb: shape.demand.memoryMb * indexes.length,
  accelerators: shape.demand.accelerators * indexes.length,
});
