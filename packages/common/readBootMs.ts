import { uptime } from 'node:os';

const MS_PER_SECOND = 1000;

/** Milliseconds since the machine's start in steps of 10, its suspensions counted; undefined where the system does not tell. */
export const readBootMs = (): number | undefined => {
  try {
    return uptime() * MS_PER_SECOND;
  } catch {
    // Callers take the clock as unusable then, and say so.
    return undefined;
  }
};
