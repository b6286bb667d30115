import type { JobStep } from './JobStep';
import type { TaskDemand } from './TaskDemand';

/** Room that a task of a step takes: a filler takes no processor time that is kept for others. */
export const toReservedDemand = ({ isFiller, demand }: JobStep): TaskDemand =>
  isFiller ? { ...demand, cpuMillis: 0 } : demand;
