import type { WorkerView } from '../scheduler/WorkerView';
import type { Demand } from '../table/Demand';

const isSameDemand = (left: Demand, right: Demand): boolean =>
  left.cpus === right.cpus &&
  left.memoryMb === right.memoryMb &&
  left.accelerators === right.accelerators &&
  left.slots === right.slots;

/** True when the scheduler would learn nothing from the newer view of a worker. */
export const isSameView = (left: WorkerView, right: WorkerView): boolean =>
  left.isPlaceable === right.isPlaceable &&
  left.rack === right.rack &&
  isSameDemand(left.foreign, right.foreign) &&
  isSameDemand(left.capacity, right.capacity);
