import { isEvictionDue } from './isEvictionDue';
import { isPreemptionWorthwhile } from './isPreemptionWorthwhile';
import { computeStopCost } from './computeStopCost';
import { findStragglerReason } from '../runs/findStragglerReason';
import type { StopPolicyName } from './StopPolicyName';
import type { StopPolicy } from './StopPolicy';

const FULL_PERCENT = 100;
/** Time before the drain deadline at which `ranked` evicts runs that write a checkpoint when they are stopped. */
const EVICTION_MARGIN_MS = 700;
/** Eviction margin of `priced`: time for the longest stop that the platform allows, and for a repeated stop command. */
const LONG_EVICTION_MARGIN_MS = 1300;
/** Longest time for a stop, the poll that reports the end, and a round of placement. */
const MAX_STOP_AND_PLACE_MS = 1200;
/** Usual time for a stop, the poll that reports the end, and a round of placement. */
const MIN_TICKET_VALIDITY_MS = 600;
/** Time from the first preemption for a step to the next; longer than a reservation. */
const INITIAL_PREEMPTION_RETRY_MS = 3000;
/** Maximum share of runs being moved at the same time. When more seem slow, the whole cluster is likely slow and moves gain little. */
const MAX_MOVING_RUN_SHARE = 0.05;
/** Minimum time from the restart of a preempted task to its next preemption. */
const MIN_WORK_AFTER_RESTART_MS = 1000;

/** Rules of each stop policy, by name. */
export const stopPolicies: Readonly<Record<StopPolicyName, StopPolicy>> = {
  ranked: {
    isEvictionDue: (input) => isEvictionDue(input, EVICTION_MARGIN_MS),
    findMoveReason: (input) => findStragglerReason(input),
    preemptionRules: {
      computeVictimCost: () => 1,
      isWorthwhile: () => true,
      isMinimizingVictims: false,
      minWorkAfterRestartMs: 0,
      reservationMs: 1200,
      minTicketValidityMs: MIN_TICKET_VALIDITY_MS,
      initialRetryDelayMs: 0,
    },
    isEvictingGangs: false,
    isUsingLearntRunTimes: false,
    maxMovingRunShare: 1,
    isQuarantineEnabled: false,
  },
  priced: {
    isEvictionDue: (input) => isEvictionDue(input, LONG_EVICTION_MARGIN_MS),
    findMoveReason: (input) =>
      findStragglerReason({
        ...input,
        restartPercent: input.isSavingOnStop ? FULL_PERCENT - input.percent : FULL_PERCENT,
      }),
    preemptionRules: {
      computeVictimCost: computeStopCost,
      isWorthwhile: isPreemptionWorthwhile,
      isMinimizingVictims: true,
      minWorkAfterRestartMs: MIN_WORK_AFTER_RESTART_MS,
      reservationMs: 2 * MAX_STOP_AND_PLACE_MS,
      minTicketValidityMs: MIN_TICKET_VALIDITY_MS,
      initialRetryDelayMs: INITIAL_PREEMPTION_RETRY_MS,
    },
    isEvictingGangs: true,
    isUsingLearntRunTimes: true,
    maxMovingRunShare: MAX_MOVING_RUN_SHARE,
    isQuarantineEnabled: true,
  },
};
