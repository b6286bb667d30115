import type { Random } from '../../packages/common/Random';
import type { ScheduledTrouble } from './ScheduledTrouble';

const MAX_PAUSE_MS = 800;
const SEED_RANGE = 2 ** 32;

/** Creates the troubles of a soak, in the order of their times, from names and a seeded random generator alone. */
export const createTroubleSchedule = (
  names: readonly string[],
  troubledMs: number,
  random: Random,
): readonly ScheduledTrouble[] => {
  const schedule: ScheduledTrouble[] = [];
  for (let atMs = 0; atMs < troubledMs; atMs += Math.floor(random() * (MAX_PAUSE_MS + 1))) {
    const name = names[Math.floor(random() * names.length)]!;
    schedule.push({ name, atMs, seed: Math.floor(random() * SEED_RANGE) });
  }
  return schedule;
};
