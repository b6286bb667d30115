/** Estimate by which the gain and the loss of a preemption for a waiting step are compared. */
export interface PreemptionEstimate {
  /** Work that the victims lose by the stop and the restart, in core-milliseconds. */
  readonly lostCoreMs: number;
  /** Time until the step could start without preemption, as runs end by themselves, in milliseconds; Infinity if never. */
  readonly roomWaitMs: number;
  /** Time that the step has waited since its last placement, in milliseconds. */
  readonly waitedMs: number;
  /** Time that the step may still wait and meet its objective, in milliseconds; negative when it can't meet it any more. */
  readonly slackMs: number;
  /** Time from the job's acceptance to its objective, in milliseconds. */
  readonly allowedMs: number;
  /** Processor demand of the tasks that the preemption lets start, in thousandths of a core. */
  readonly waitingCpuMillis: number;
}
