import { vi } from 'vitest';
import type { LeaseSimulation } from './LeaseSimulation';

const RESIGNATION_MS = 100;

/** Stops the leader of a simulation by plan, and then its box. */
export const runPlannedStop = async (simulation: LeaseSimulation): Promise<void> => {
  const leader = simulation.findLeader()!;
  const stopped = simulation.boxes[leader]!.controller!.stopGracefully();
  await vi.advanceTimersByTimeAsync(RESIGNATION_MS);
  await stopped;
  simulation.stopBox(leader);
};
