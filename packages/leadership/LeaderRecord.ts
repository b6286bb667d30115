/** What the log says of the leader. The record with the highest epoch counts. */
export interface LeaderRecord {
  /** Also the fencing token on every order to endpoints. */
  readonly epoch: number;
  readonly box: string;
  /** Unique for each start of a box. */
  readonly process: string;
  /** The leader has stopped by plan and gives no more orders. */
  readonly isResigned: boolean;
}
