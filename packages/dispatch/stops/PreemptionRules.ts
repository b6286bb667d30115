import type { PreemptionEstimate } from './PreemptionEstimate';

/** Rules of a stop policy that decide when and which runs are preempted for a waiting step. */
export interface PreemptionRules {
  /** Returns the cost of preempting a run. Endpoints with the lowest total cost are chosen. */
  readonly computeVictimCost: (run: Victim) => number;
  /** Returns whether a preemption gains enough to be carried out. */
  readonly isWorthwhile: (estimate: PreemptionEstimate) => boolean;
  /** Victims are left running when the others free enough capacity. */
  readonly isMinimizingVictims: boolean;
  /** Minimum time from the restart of a preempted task to its next preemption, in milliseconds. */
  readonly minWorkAfterRestartMs: number;
  /** Time for which an endpoint is reserved for the step for which runs are preempted, in milliseconds. */
  readonly reservationMs: number;
  /** Minimum remaining validity of the ticket of an endpoint on which runs are preempted, in milliseconds. */
  readonly minTicketValidityMs: number;
  /** Time from the first preemption for a step to the next, in milliseconds; doubled each time until the step starts. */
  readonly initialRetryDelayMs: number;
}

/** Properties of a run on which the cost of its preemption depends. */
interface Victim {
  readonly cpuMillis: number;
  /** Time since the last known checkpoint, or the confirmed start if there is none, in milliseconds. */
  readonly sinceCheckpointMs: number;
  /** The run writes a checkpoint when it is stopped, so that no work is lost. */
  readonly isSavingOnStop: boolean;
}
