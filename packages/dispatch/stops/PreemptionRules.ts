import type { PreemptionEstimate } from './PreemptionEstimate';

/** Preemption rules of a stop policy. */
export interface PreemptionRules {
  /** Returns the cost of a victim. The plan with the lowest total cost is carried out. */
  readonly computeVictimCost: (run: Victim) => number;
  readonly isWorthwhile: (estimate: PreemptionEstimate) => boolean;
  /** Victims that turn out unnecessary are left running. */
  readonly isMinimizingVictims: boolean;
  /** Minimum time between the restart of a preempted task and its next preemption, in milliseconds. */
  readonly minWorkAfterRestartMs: number;
  /** Time for which an endpoint is reserved for the preempting step, in milliseconds. */
  readonly reservationMs: number;
  /** Remaining validity of a ticket that allows preemption, in milliseconds. */
  readonly minTicketValidityMs: number;
  /** Backoff after the first preemption for a step that didn't start, in milliseconds; doubled each time. */
  readonly initialRetryDelayMs: number;
}

/** A run that may be preempted. */
interface Victim {
  readonly cpuMillis: number;
  /** Time since its last known checkpoint, or its start, in milliseconds. */
  readonly sinceCheckpointMs: number;
  /** The run saves its work when it is stopped. */
  readonly isSavingOnStop: boolean;
}
