import type { TeamName } from '../common/TeamName';

/** Quota of one team over all its rows. */
export interface Team {
  readonly name: TeamName;
  /** Most tasks running in the cell; 0 means no limit. */
  readonly maxRunning: number;
  /** Most requests waiting in one entry box; 0 means no limit. */
  readonly maxQueued: number;
}
