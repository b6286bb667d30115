import type { TaskDemand } from './TaskDemand';

const ZERO: TaskDemand = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

const computeSum = (left: TaskDemand, right: TaskDemand): TaskDemand => ({
  cpuMillis: left.cpuMillis + right.cpuMillis,
  memoryMb: left.memoryMb + right.memoryMb,
  accelerators: left.accelerators + right.accelerators,
});

const computeDifference = (left: TaskDemand, right: TaskDemand): TaskDemand => ({
  cpuMillis: left.cpuMillis - right.cpuMillis,
  memoryMb: left.memoryMb - right.memoryMb,
  accelerators: left.accelerators - right.accelerators,
});

const computeProduct = (demand: TaskDemand, factor: number): TaskDemand => ({
  cpuMillis: demand.cpuMillis * factor,
  memoryMb: demand.memoryMb * factor,
  accelerators: demand.accelerators * factor,
});

const isWithin = (demand: TaskDemand, capacity: TaskDemand): boolean =>
  demand.cpuMillis <= capacity.cpuMillis &&
  demand.memoryMb <= capacity.memoryMb &&
  demand.accelerators <= capacity.accelerators;

/** Sums, differences, products and comparisons of resource demands, dimension by dimension. `isWithin` requires every dimension to fit. */
export const resourceMath = {
  ZERO,
  computeSum,
  computeDifference,
  computeProduct,
  isWithin,
} as const;
