import { performance } from 'node:perf_hooks';
import type { Clock } from './Clock';

/** The machine's own clocks. */
export const systemClock: Clock = {
  readNow: () => performance.now(),
  readWall: () => Date.now(),
};
