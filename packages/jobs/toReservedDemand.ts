import type { JobStep } from './JobStep';
import type { TaskDemand } from './TaskDemand';

/** Returns the resources that a task of a step reserves. A filler task reserves no processor time. */
export const toReservedDemand = ({ isFiller, demand }: JobStep): TaskDemand =>
  isFiller ? { ...demand, cpuMillis: 0 } : demand;
