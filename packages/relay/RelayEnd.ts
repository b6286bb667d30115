/** How the connection of a leader to a call relay has ended. */
export interface RelayEnd {
  /** True if calls could be sent; false if the box was not reached. */
  readonly wasOpen: boolean;
  /** True if the connection was closed on purpose, without pending calls. */
  readonly isPlanned: boolean;
  readonly detail: string;
  /** Number of calls that were interrupted. */
  readonly pendingCalls: number;
}
