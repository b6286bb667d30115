import { isDeepStrictEqual } from 'node:util';
import type { JobQueue } from './JobQueue';

/** Returns whether two policies of a queue are equal. */
export const isSameQueue = (left: JobQueue, right: JobQueue): boolean =>
  left === right || isDeepStrictEqual(left, right);
