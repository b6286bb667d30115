import { uptime } from 'node:os';

const MS_PER_SECOND = 1000;

/** Returns the milliseconds since the machine booted, including suspensions, in steps of 10; undefined if not available. */
export const readUptimeMs = (): number | undefined => {
  try {
    return uptime() * MS_PER_SECOND;
  } catch {
    // Without a value the uptime clock counts as unusable.
    return undefined;
  }
};
