import type { Demand } from '../table/Demand';

const NOTHING: Demand = { cpus: 0, memoryMb: 0, accelerators: 0, slots: 0 };
/** Sums of fractional cores carry rounding errors; this much is not an overfill. */
const ROUNDING = 1e-6;

const toSum = (left: Demand, right: Demand): Demand => ({
  cpus: left.cpus + right.cpus,
  memoryMb: left.memoryMb + right.memoryMb,
  accelerators: left.accelerators + right.accelerators,
  slots: left.slots + right.slots,
});

const toDifference = (left: Demand, right: Demand): Demand => ({
  cpus: left.cpus - right.cpus,
  memoryMb: left.memoryMb - right.memoryMb,
  accelerators: left.accelerators - right.accelerators,
  slots: left.slots - right.slots,
});

const toScaled = (demand: Demand, factor: number): Demand => ({
  cpus: demand.cpus * factor,
  memoryMb: demand.memoryMb * factor,
  accelerators: demand.accelerators * factor,
  slots: demand.slots * factor,
});

const toFit = (room: number, need: number): number =>
  need === 0 ? Infinity : Math.floor((room + ROUNDING) / need);

/** How many tasks of one demand fit into the room; 0 when the room is overdrawn in any dimension. */
const toFitCount = (room: Demand, need: Demand): number => {
  const fit = Math.min(
    toFit(room.cpus, need.cpus),
    toFit(room.memoryMb, need.memoryMb),
    toFit(room.accelerators, need.accelerators),
    toFit(room.slots, need.slots),
  );
  return Math.max(0, fit);
};

/** Arithmetic on demands; all functions are pure. */
export const demandMath = { NOTHING, toSum, toDifference, toScaled, toFitCount } as const;
