/** What stopping runs for a waiting step loses, and what it gains. */
export interface PreemptionEstimate {
  /** Core-milliseconds that the stopped runs lose: work in no checkpoint, and their restart. */
  readonly lostCoreMs: number;
  /** Time until known ends would make the room that the stops make, in milliseconds. */
  readonly roomWaitMs: number;
  /** Time for which the step has waited, in milliseconds. */
  readonly waitedMs: number;
  /** Time that the step may still wait and be in time, in milliseconds. */
  readonly slackMs: number;
  /** Time from the job's acceptance to its objective, in milliseconds. */
  readonly allowedMs: number;
  /** Thousandths of a core that start sooner. */
  readonly waitingCpuMillis: number;
}
