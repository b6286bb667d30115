import { performance } from 'node:perf_hooks';
import type { Clock } from './Clock';

/** Clock of the operating system. */
export const systemClock: Clock = {
  getNow: () => performance.now(),
  getWallTime: () => Date.now(),
};
