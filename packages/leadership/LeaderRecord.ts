/** Record of the leader in the log. The one with the highest epoch is valid. */
export interface LeaderRecord {
  /** Also the fencing token of each command to endpoints. */
  readonly epoch: number;
  readonly box: string;
  /** Unique for each process of a box. */
  readonly process: string;
  /** True once the leader has stopped gracefully and sends no more commands. */
  readonly isResigned: boolean;
}
