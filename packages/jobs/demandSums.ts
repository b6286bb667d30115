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

const isWithin = (need: TaskDemand, room: TaskDemand): boolean =>
  need.cpuMillis <= room.cpuMillis &&
  need.memoryMb <= room.memoryMb &&
  need.accelerators <= room.accelerators;

/** Arithmetic on demands of tasks; all functions are pure. */
export const demandSums = { NOTHING, toSum, toDifference, isWithin } as const;
