/** What is known of a run, or of a whole gang, on an endpoint that leaves. */
export interface LeaveInput {
  /** Time until the endpoint leaves, in milliseconds. */
  readonly leftMs: number;
  /** Time that the run still takes there, in milliseconds; Infinity for one that never ends. */
  readonly remainingMs: number;
  /** A stop saves what the run has done. */
  readonly isSaving: boolean;
}
