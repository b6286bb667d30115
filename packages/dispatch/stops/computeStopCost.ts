import type { PreemptionRules } from './PreemptionRules';

/** Expected time from a stop until the task works again from its checkpoint. */
const EXPECTED_RESTART_MS = 500;
const CPU_MILLIS_PER_CORE = 1000;

/**
 * Returns the work that a stop of a run loses, in core-milliseconds: the work of the restart time and, unless the run writes a checkpoint
 * when it is stopped, the work since its last checkpoint.
 */
export const computeStopCost: PreemptionRules['computeVictimCost'] = ({
  cpuMillis,
  sinceCheckpointMs,
  isSavingOnStop,
}) => ((EXPECTED_RESTART_MS + (isSavingOnStop ? 0 : sinceCheckpointMs)) * cpuMillis) / CPU_MILLIS_PER_CORE;
