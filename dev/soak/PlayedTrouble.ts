import type { ScheduledTrouble } from './ScheduledTrouble';

/** A trouble as a soak has played it. */
export interface PlayedTrouble extends ScheduledTrouble {
  /** Time at which it was begun, from the begin of the troubles, in milliseconds. */
  readonly begunMs: number;
  /** Time at which it was over, in milliseconds; undefined until then. */
  endedMs: number | undefined;
  /** Its choices so far. */
  readonly choices: readonly number[];
}
