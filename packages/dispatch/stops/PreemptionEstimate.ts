/** Estimated loss and gain of a preemption for a waiting step. */
export interface PreemptionEstimate {
  /** Work that the victims lose, in core-milliseconds: since their last checkpoint, and their restart. */
  readonly lostCoreMs: number;
  /** Time until runs that end by themselves would free the same capacity, in milliseconds. */
  readonly roomWaitMs: number;
  /** Time that the step has waited, in milliseconds. */
  readonly waitedMs: number;
  /** Time that the step may still wait and meet its objective, in milliseconds; negative when it is late. */
  readonly slackMs: number;
  /** Time from the job's acceptance to its objective, in milliseconds. */
  readonly allowedMs: number;
  /** Demand that starts earlier, in thousandths of a core. */
  readonly waitingCpuMillis: number;
}
