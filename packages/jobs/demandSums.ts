import type { TaskDemand } from './TaskDemand';

const NOTHING: TaskDemand = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

const toSum = (left: TaskDemand, right: TaskDemand): TaskDemand => ({
  cpuMillis: left.cpuMillis + right.cpuMillis,
  memoryMb: left.memoryMb + right.memoryMb,
  accelerators: left.accelerators + right.accelerators,
});

const toDifference = (left: TaskDemand, right: TaskDemand): TaskDemand => ({
  cpuMillis: left.cpuMillis - right.cpuMillis,
  memoryMb: left.memoryMb - right.memoryMb,
  accelerators: left.accelerators - right.accelerators,
});

const toScaled = (demand: TaskDemand, factor: number): TaskDemand => ({
  cpuMillis: demand.cpuMillis * factor,
  memoryMb: demand.memoryMb * factor,
  accelerators: demand.accelerators * factor,
});

const isWithin = (need: TaskDemand, room: TaskDemand): boolean =>
  need.cpuMillis <= room.cpuMillis &&
  need.memoryMb <= room.memoryMb &&
  need.accelerators <= room.accelerators;

/** Arithmetic on demands of tasks; all functions are pure. */
export const demandSums = { NOTHING, toSum, toDifference, toScaled, isWithin } as const;
