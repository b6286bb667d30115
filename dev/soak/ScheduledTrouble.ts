/** A trouble of a soak, planned before the soak begins. */
export interface ScheduledTrouble {
  readonly name: string;
  /** Time from the begin of the troubles, in milliseconds. */
  readonly atMs: number;
  /** Seed of the trouble's own choices. */
  readonly seed: number;
}
